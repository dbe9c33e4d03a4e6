/** A TCP relay that can lose track of its connections. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {decodeFrame} from '../src/runtime/peers/decode-frame.js';
import {FrameReader} from '../src/runtime/peers/frame-reader.js';

const frameLimitBytes = 8_388_608;

/** What is held back in one direction, oldest first. */
type Held = Array<{readonly dueAt: number; readonly chunk: Uint8Array}>;
type Pair = {readonly near: Socket; readonly far: Socket; readonly onward: Held; readonly back: Held; source: string; isLost: boolean};

/**
 * Stands between two ends. A cut swallows what is sent and answers nothing, as a network does that is split: neither
 * end sees its connection closed. `blackholeOpenConnections` does that to the open connections only, and lets new ones work.
 */
export class FaultProxy {
	readonly #server: Server;
	readonly #pairs = new Set<Pair>();
	#destination: {readonly host: string; readonly port: number} | undefined;
	#isCutFrom: ((source: string) => boolean) | undefined;
	#isCutTowards: ((source: string) => boolean) | undefined;
	#delayMilliseconds = 0;
	#port = 0;

	/**
	 * With `isPeer`, the source of a connection is the zone that its first frame names. A relay that ends with its destination
	 * refuses connections for good once that has refused one; else each connection is broken as long as it does.
	 */
	constructor(private readonly isPeer: boolean, private readonly endsWithDestination = true) {
		this.#server = createServer(near => {
			this.#accept(near);
		});
	}

	/** Listens where it did before, the first time at a port that the system gives. */
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

	/** Cuts off the sources that the tests name: `from` them to the destination, and `towards` them. */
	partition(from: (source: string) => boolean, towards: (source: string) => boolean = from): void {
		this.#isCutFrom = from;
		this.#isCutTowards = towards;
	}

	/** Holds everything back for so long, in order; 0 ends it. */
	setDelay(milliseconds: number): void {
		this.#delayMilliseconds = milliseconds;
	}

	/** Forgets the connections that are open now. */
	blackholeOpenConnections(): void {
		for (const pair of this.#pairs) {
			pair.isLost = true;
		}
	}

	/** Breaks the connections that are open now. */
	resetOpenConnections(): void {
		for (const {near, far} of this.#pairs) {
			near.resetAndDestroy();
			far.resetAndDestroy();
		}
	}

	/** Refuses connections and breaks those that are open, as when the process behind it died; until it listens again. */
	close(): void {
		this.#server.close();
		for (const {near, far} of this.#pairs) {
			near.destroy();
			far.destroy();
		}
	}

	#accept(near: Socket): void {
		if (this.#destination === undefined) {
			near.destroy();
			return;
		}

		const far = connect(this.#destination);
		const pair: Pair = {
			near, far, onward: [], back: [], source: '', isLost: false,
		};
		this.#pairs.add(pair);
		const reader = this.isPeer ? new FrameReader(frameLimitBytes) : undefined;
		near.on('data', (chunk: Uint8Array) => {
			pair.source ||= reader === undefined ? '' : sourceOf(reader, chunk);
			if (!pair.isLost && this.#isCutFrom?.(pair.source) !== true) {
				this.#pass(pair.onward, far, chunk);
			}
		});
		far.on('data', (chunk: Uint8Array) => {
			if (!pair.isLost && this.#isCutTowards?.(pair.source) !== true) {
				this.#pass(pair.back, near, chunk);
			}
		});
		this.#joinEnds(pair);
	}

	#pass(held: Held, to: Socket, chunk: Uint8Array): void {
		if (this.#delayMilliseconds === 0 && held.length === 0) {
			to.write(chunk);
			return;
		}

		held.push({dueAt: performance.now() + this.#delayMilliseconds, chunk});
		if (held.length === 1) {
			this.#passLater(held, to);
		}
	}

	#passLater(held: Held, to: Socket): void {
		setTimeout(() => {
			while (held.length > 0 && held[0]!.dueAt <= performance.now()) {
				to.write(held.shift()!.chunk);
			}

			if (held.length > 0) {
				this.#passLater(held, to);
			}
		}, Math.max(1, held[0]!.dueAt - performance.now()));
	}

	/** An end of one side is passed on, unless the connection is lost. A refused destination breaks the near side. */
	#joinEnds(pair: Pair): void {
		const {near, far} = pair;
		const end = (other: Socket) => {
			this.#pairs.delete(pair);
			if (!pair.isLost && this.#isCutFrom?.(pair.source) !== true) {
				other.destroy();
			}
		};

		near.on('close', () => {
			end(far);
		});
		far.on('close', () => {
			end(near);
		});
		near.on('error', () => undefined);
		far.on('error', (error: NodeJS.ErrnoException) => {
			if (error.code === 'ECONNREFUSED' && this.endsWithDestination) {
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
