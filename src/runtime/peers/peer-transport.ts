/** How the bytes between entries travel. */
import type {Server, Socket} from 'node:net';

/** TCP, or TLS over it; what the bytes mean is the same. */
export abstract class PeerTransport {
	/** A server that hands out sockets that are ready for use. */
	abstract createServer(onSocket: (socket: Socket) => void): Server;

	/** Dials, and calls back once the socket is ready for use; errors come as events of the socket. */
	abstract dial(host: string, port: number, onReady: () => void): Socket;
}
