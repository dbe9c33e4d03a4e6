/** Transport of peer connections. */
import type {Server, Socket} from 'node:net';

/** Creates sockets for the peer protocol. */
export abstract class PeerTransport {
	/** Creates a server that passes each accepted socket to the callback once data can be exchanged. */
	abstract createServer(onSocket: (socket: Socket) => void): Server;

	/** Connects to a server and calls back once data can be exchanged; errors are reported by the socket's events. */
	abstract dial(host: string, port: number, onReady: () => void): Socket;
}
