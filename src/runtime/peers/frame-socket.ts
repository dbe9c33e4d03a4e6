/** A socket that carries frames. */
import type {Socket} from 'node:net';
import type {z} from 'zod';
import type {Disposable} from '../../base/disposable.js';
import {encodeFrame} from './encode-frame.js';
import {FrameReader} from './frame-reader.js';
import type {peerFrameSchema} from './peer-frame.js';
import {decodeFrame} from './decode-frame.js';
import type {TrafficCounter} from './traffic-counter.js';

/** Above any job's answer; a longer frame ends its connection. */
const frameLimitBytes = 8_388_608;
/** What may wait in a socket before its messages are dropped: a peer that doesn't read must not fill the memory. */
const writeBufferLimitBytes = 16_777_216;

type Frame = z.output<typeof peerFrameSchema>;

/** Owns a socket; garbage, a frame over the limit or an end of the connection closes it, and says why once. */
export class FrameSocket implements Disposable {
	#isClosed = false;

	constructor(
		private readonly socket: Socket,
		private readonly counter: TrafficCounter,
		onFrame: (frame: Frame) => void,
		private readonly onClose: (reason: string) => void,
	) {
		const reader = new FrameReader(frameLimitBytes);
		socket.setNoDelay(true);
		socket.on('data', (chunk: Uint8Array) => {
			this.#receive(reader, chunk, onFrame);
		});
		socket.on('error', error => {
			this.#close(String((error as NodeJS.ErrnoException).code ?? error));
		});
		socket.on('close', () => {
			this.#close('closed');
		});
	}

	send(frame: Frame): void {
		if (this.#isClosed || this.socket.writableLength > writeBufferLimitBytes) {
			return;
		}

		const bytes = encodeFrame(frame);
		this.counter.recordSent(bytes.length, labelOf(frame));
		this.socket.write(bytes);
	}

	dispose(): void {
		this.#close('disposed');
	}

	#receive(reader: FrameReader, chunk: Uint8Array, onFrame: (frame: Frame) => void): void {
		this.counter.recordReceived(chunk.length);
		const frames = reader.push(chunk);
		if (frames === undefined) {
			this.#close('frame over the limit');
			return;
		}

		for (const bytes of frames) {
			const frame = decodeFrame(bytes);
			if (frame === undefined) {
				this.#close('unreadable frame');
				return;
			}

			this.counter.recordReceivedFrame();
			if (!this.#isClosed) {
				onFrame(frame);
			}
		}
	}

	#close(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.socket.destroy();
		this.onClose(reason);
	}
}

/** What a frame is, for the counts: a message's own kind stands in its body, or one level deeper. */
function labelOf(frame: Frame): string {
	if (frame.kind !== 'message') {
		return frame.kind;
	}

	if (Array.isArray(frame.body)) {
		return frame.channel;
	}

	const body = frame.body as Readonly<Record<string, unknown>>;
	const inner = Object.values(body).find(value => typeof value === 'object' && value !== null && 'kind' in value);
	const kind = body.kind ?? (inner)?.kind;
	return `${frame.channel}/${String(kind)}`;
}
