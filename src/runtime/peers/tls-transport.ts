/** TLS between entries. */
import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:tls';
import {PeerTransport} from './peer-transport.js';

/** PEM texts; both ends show a certificate that the authority signed. */
type TlsFiles = {readonly certificate: string; readonly privateKey: string; readonly authority: string};

/** Both ends must hold a certificate of the authority. Entries are reached by IP number, so that names aren't compared. */
export class TlsTransport extends PeerTransport {
	constructor(private readonly files: TlsFiles) {
		super();
	}

	override createServer(onSocket: (socket: Socket) => void): Server {
		const {certificate, privateKey, authority} = this.files;
		const server = createServer({
			cert: certificate, key: privateKey, ca: authority, requestCert: true, rejectUnauthorized: true,
		}, onSocket);
		// A client without a certificate is dropped by the handshake; without a listener its error would end the process.
		server.on('tlsClientError', (_error, socket) => {
			socket.destroy();
		});
		return server;
	}

	override dial(host: string, port: number, onReady: () => void): Socket {
		const {certificate, privateKey, authority} = this.files;
		return connect({
			host, port, cert: certificate, key: privateKey, ca: authority, checkServerIdentity: () => undefined,
		}, onReady);
	}
}
