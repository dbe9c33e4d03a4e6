/** Traffic accounting of the peer connections. */
import type {PeerTraffic} from './peer-traffic.js';

/** Counts frames and bytes of all peer connections of an entry. */
export class TrafficCounter {
	readonly #sentByKind = new Map<string, number>();
	#sentFrames = 0;
	#sentBytes = 0;
	#receivedFrames = 0;
	#receivedBytes = 0;

	get total(): PeerTraffic {
		return {
			sentFrames: this.#sentFrames,
			sentByKind: Object.fromEntries(this.#sentByKind),
			sentBytes: this.#sentBytes,
			receivedFrames: this.#receivedFrames,
			receivedBytes: this.#receivedBytes,
		};
	}

	recordSent(bytes: number, kind: string): void {
		this.#sentFrames += 1;
		this.#sentByKind.set(kind, (this.#sentByKind.get(kind) ?? 0) + 1);
		this.#sentBytes += bytes;
	}

	recordReceived(bytes: number): void {
		this.#receivedBytes += bytes;
	}

	recordReceivedFrame(): void {
		this.#receivedFrames += 1;
	}
}
