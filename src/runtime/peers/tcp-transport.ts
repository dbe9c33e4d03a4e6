/** Plain TCP transport. */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {PeerTransport} from './peer-transport.js';

/** Unencrypted transport for trusted networks; the handshake still authenticates peers. */
export class TcpTransport extends PeerTransport {
	override createServer(onSocket: (socket: Socket) => void): Server {
		return createServer(onSocket);
	}

	override dial(host: string, port: number, onReady: () => void): Socket {
		return connect({host, port}, onReady);
	}
}
