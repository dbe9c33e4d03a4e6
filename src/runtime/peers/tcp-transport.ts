/** Plain TCP between entries. */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {PeerTransport} from './peer-transport.js';

/** For networks that are trusted; the shared key still keeps strangers out. */
export class TcpTransport extends PeerTransport {
	override createServer(onSocket: (socket: Socket) => void): Server {
		return createServer(onSocket);
	}

	override dial(host: string, port: number, onReady: () => void): Socket {
		return connect({host, port}, onReady);
	}
}
