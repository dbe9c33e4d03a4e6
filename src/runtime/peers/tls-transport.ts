/** TLS transport. */
import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:tls';
import {PeerTransport} from './peer-transport.js';

/** The certificate, its private key and the certificate authority, in PEM format. */
type TlsCredentials = {readonly certificate: string; readonly privateKey: string; readonly authority: string};

/** Mutual TLS with a private certificate authority. Host names are not verified, because entries are addressed by IP. */
export class TlsTransport extends PeerTransport {
	constructor(private readonly credentials: TlsCredentials) {
		super();
	}

	override createServer(onSocket: (socket: Socket) => void): Server {
		const {certificate, privateKey, authority} = this.credentials;
		const server = createServer({
			cert: certificate, key: privateKey, ca: authority, requestCert: true, rejectUnauthorized: true,
		}, onSocket);
		// Without a listener, the error of a client that fails the TLS handshake would end the process.
		server.on('tlsClientError', (_error, socket) => {
			socket.destroy();
		});
		return server;
	}

	override dial(host: string, port: number, onReady: () => void): Socket {
		const {certificate, privateKey, authority} = this.credentials;
		return connect({
			host, port, cert: certificate, key: privateKey, ca: authority, checkServerIdentity: () => undefined,
		}, onReady);
	}
}
