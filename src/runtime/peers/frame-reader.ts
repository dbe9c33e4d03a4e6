/** Splitting of a TCP byte stream into frames. */
import {Buffer} from 'node:buffer';

const frameHeaderBytes = 4;

/** Buffers chunks and extracts complete frames, each prefixed with its length as a 32-bit big-endian integer. */
export class FrameReader {
	#chunks: Uint8Array[] = [];
	#bytes = 0;

	constructor(private readonly limitBytes: number) {}

	/** Adds a chunk and returns the frames it completes; undefined if a frame exceeds the limit. */
	push(chunk: Uint8Array): readonly Uint8Array[] | undefined {
		this.#chunks.push(chunk);
		this.#bytes += chunk.length;
		const frames: Uint8Array[] = [];
		while (this.#bytes >= frameHeaderBytes) {
			const bytes = this.#joinChunks();
			const length = new DataView(bytes.buffer, bytes.byteOffset).getUint32(0);
			// Reject oversized frames before buffering them.
			if (length > this.limitBytes) {
				return undefined;
			}

			if (bytes.length < frameHeaderBytes + length) {
				break;
			}

			frames.push(bytes.subarray(frameHeaderBytes, frameHeaderBytes + length));
			this.#keepRest(bytes.subarray(frameHeaderBytes + length));
		}

		return frames;
	}

	#joinChunks(): Uint8Array {
		const [first] = this.#chunks;
		const joined = this.#chunks.length === 1 ? first! : Buffer.concat(this.#chunks);
		this.#chunks = [joined];
		return joined;
	}

	#keepRest(rest: Uint8Array): void {
		this.#chunks = rest.length === 0 ? [] : [rest];
		this.#bytes = rest.length;
	}
}
