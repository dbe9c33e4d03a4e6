/** A TCP proxy that injects network faults. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {decodeFrame} from '../src/runtime/peers/decode-frame.js';
import {FrameReader} from '../src/runtime/peers/frame-reader.js';

const frameLimitBytes = 8_388_608;

/** Delayed data of one direction, oldest first. */
type DelayQueue = Array<{readonly dueAt: number; readonly chunk: Uint8Array}>;
type ProxiedConnection = {readonly client: Socket; readonly upstream: Socket; readonly toUpstream: DelayQueue; readonly toClient: DelayQueue; source: string; isBlackholed: boolean};

/**
 * Forwards connections to one destination. A partition drops data in transit without closing connections, like a network
 * partition. `blackholeOpenConnections` does so for the open connections only; new ones work.
 */
export class FaultProxy {
	readonly #server: Server;
	readonly #connections = new Set<ProxiedConnection>();
	#destination: {readonly host: string; readonly port: number} | undefined;
	#isDroppedFrom: ((source: string) => boolean) | undefined;
	#isDroppedTowards: ((source: string) => boolean) | undefined;
	#delayMilliseconds = 0;
	#port = 0;

	/**
	 * @param readsPeerFrames Whether the source of a connection is the zone in its first frame; otherwise it is empty.
	 * @param stopsWithDestination Whether to stop listening once the destination refuses a connection; otherwise only that
	 * connection is closed.
	 */
	constructor(private readonly readsPeerFrames: boolean, private readonly stopsWithDestination = true) {
		this.#server = createServer(client => {
			this.#accept(client);
		});
	}

	/** Listens on an ephemeral port the first time and on the same port afterwards. Returns the address. */
	async listen(): Promise<string> {
		if (!this.#server.listening) {
			await new Promise<void>((resolve, reject) => {
				this.#server.once('error', reject);
				this.#server.listen(this.#port, '127.0.0.1', resolve);
			});
			this.#port = (this.#server.address() as AddressInfo).port;
		}

		return `127.0.0.1:${this.#port}`;
	}

	forwardTo(address: string): void {
		const [host = '', port = ''] = address.split(':');
		this.#destination = {host, port: Number(port)};
	}

	/** Drops data of the sources that match, from them (`from`) and to them (`towards`). */
	partition(from: (source: string) => boolean, towards: (source: string) => boolean = from): void {
		this.#isDroppedFrom = from;
		this.#isDroppedTowards = towards;
	}

	/** Delays all data in both directions, in order; 0 turns the delay off. */
	setDelay(milliseconds: number): void {
		this.#delayMilliseconds = milliseconds;
	}

	/** Drops all further data of the connections that are open now, without closing them. */
	blackholeOpenConnections(): void {
		for (const connection of this.#connections) {
			connection.isBlackholed = true;
		}
	}

	/** Resets the connections that are open now. */
	resetOpenConnections(): void {
		for (const {client, upstream} of this.#connections) {
			client.resetAndDestroy();
			upstream.resetAndDestroy();
		}
	}

	/** Refuses connections and closes open ones, as if the destination had crashed, until `listen` is called. */
	close(): void {
		this.#server.close();
		for (const {client, upstream} of this.#connections) {
			client.destroy();
			upstream.destroy();
		}
	}

	#accept(client: Socket): void {
		if (this.#destination === undefined) {
			client.destroy();
			return;
		}

		const upstream = connect(this.#destination);
		const connection: ProxiedConnection = {
			client, upstream, toUpstream: [], toClient: [], source: '', isBlackholed: false,
		};
		this.#connections.add(connection);
		const reader = this.readsPeerFrames ? new FrameReader(frameLimitBytes) : undefined;
		client.on('data', (chunk: Uint8Array) => {
			connection.source ||= reader === undefined ? '' : sourceOf(reader, chunk);
			if (!connection.isBlackholed && this.#isDroppedFrom?.(connection.source) !== true) {
				this.#forward(connection.toUpstream, upstream, chunk);
			}
		});
		upstream.on('data', (chunk: Uint8Array) => {
			if (!connection.isBlackholed && this.#isDroppedTowards?.(connection.source) !== true) {
				this.#forward(connection.toClient, client, chunk);
			}
		});
		this.#propagateClose(connection);
	}

	#forward(queue: DelayQueue, to: Socket, chunk: Uint8Array): void {
		if (this.#delayMilliseconds === 0 && queue.length === 0) {
			to.write(chunk);
			return;
		}

		queue.push({dueAt: performance.now() + this.#delayMilliseconds, chunk});
		if (queue.length === 1) {
			this.#flushLater(queue, to);
		}
	}

	#flushLater(queue: DelayQueue, to: Socket): void {
		setTimeout(() => {
			while (queue.length > 0 && queue[0]!.dueAt <= performance.now()) {
				to.write(queue.shift()!.chunk);
			}

			if (queue.length > 0) {
				this.#flushLater(queue, to);
			}
		}, Math.max(1, queue[0]!.dueAt - performance.now()));
	}

	/** Propagates the close of one side to the other, unless the connection is dropped. */
	#propagateClose(connection: ProxiedConnection): void {
		const {client, upstream} = connection;
		const end = (other: Socket) => {
			this.#connections.delete(connection);
			if (!connection.isBlackholed && this.#isDroppedFrom?.(connection.source) !== true) {
				other.destroy();
			}
		};

		client.on('close', () => {
			end(upstream);
		});
		upstream.on('close', () => {
			end(client);
		});
		client.on('error', () => undefined);
		upstream.on('error', (error: NodeJS.ErrnoException) => {
			if (error.code === 'ECONNREFUSED' && this.stopsWithDestination) {
				this.#server.close();
			}
		});
	}
}

function sourceOf(reader: FrameReader, chunk: Uint8Array): string {
	const [first] = reader.push(chunk) ?? [];
	const frame = first === undefined ? undefined : decodeFrame(first);
	return frame?.kind === 'hello' ? frame.member.zone : '';
}
