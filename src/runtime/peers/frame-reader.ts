/** Cuts a TCP byte stream into frames. */
import {Buffer} from 'node:buffer';

const frameHeaderBytes = 4;

/** Collects chunks and yields whole frames: a length of four bytes, most significant first, then so many bytes. */
export class FrameReader {
	#chunks: Uint8Array[] = [];
	#bytes = 0;

	constructor(private readonly limitBytes: number) {}

	/** Takes a chunk and returns the frames that are whole now; none at all where a frame exceeds the limit. */
	push(chunk: Uint8Array): readonly Uint8Array[] | undefined {
		this.#chunks.push(chunk);
		this.#bytes += chunk.length;
		const frames: Uint8Array[] = [];
		while (this.#bytes >= frameHeaderBytes) {
			const bytes = this.#joined();
			const length = new DataView(bytes.buffer, bytes.byteOffset).getUint32(0);
			// A length beyond the limit is garbage or an attack; waiting for it would fill the memory.
			if (length > this.limitBytes) {
				return undefined;
			}

			if (bytes.length < frameHeaderBytes + length) {
				break;
			}

			frames.push(bytes.subarray(frameHeaderBytes, frameHeaderBytes + length));
			this.#replace(bytes.subarray(frameHeaderBytes + length));
		}

		return frames;
	}

	#joined(): Uint8Array {
		const [first] = this.#chunks;
		const joined = this.#chunks.length === 1 ? first! : Buffer.concat(this.#chunks);
		this.#chunks = [joined];
		return joined;
	}

	#replace(rest: Uint8Array): void {
		this.#chunks = rest.length === 0 ? [] : [rest];
		this.#bytes = rest.length;
	}
}
