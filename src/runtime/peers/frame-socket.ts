/** A socket that sends and receives frames. */
import type {Socket} from 'node:net';
import type {z} from 'zod';
import type {Disposable} from '../../base/disposable.js';
import {decodeFrame} from './decode-frame.js';
import {encodeFrame} from './encode-frame.js';
import {FrameReader} from './frame-reader.js';
import type {peerFrameSchema} from './peer-frame.js';
import type {TrafficCounter} from './traffic-counter.js';

/** Maximum size of a received frame; a longer frame closes the connection. */
const frameLimitBytes = 8_388_608;
/** Limit of unsent bytes; frames beyond it are dropped, so that a slow peer can't exhaust the memory. */
const writeBufferLimitBytes = 16_777_216;

type Frame = z.output<typeof peerFrameSchema>;

/** Owns a socket and closes it on invalid or oversized frames; reports the reason for closing exactly once. */
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

	/** Sends a frame; `isForFormerPeer` as for `encodeFrame`. */
	send(frame: Frame, isForFormerPeer = false): void {
		if (this.#isClosed || this.socket.writableLength > writeBufferLimitBytes) {
			return;
		}

		const bytes = encodeFrame(frame, isForFormerPeer);
		this.counter.recordSent(bytes.length, trafficLabel(frame));
		this.socket.write(bytes);
	}

	dispose(): void {
		this.#close('disposed');
	}

	#receive(reader: FrameReader, chunk: Uint8Array, onFrame: (frame: Frame) => void): void {
		this.counter.recordReceived(chunk.length);
		const frames = reader.push(chunk);
		if (frames === undefined) {
			this.#close('frame too large');
			return;
		}

		for (const bytes of frames) {
			const frame = decodeFrame(bytes);
			if (frame === undefined) {
				this.#close('invalid frame');
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

/** Label of a frame in the traffic statistics. The kind of a message is a field of its body, or of an object in its body. */
function trafficLabel(frame: Frame): string {
	if (frame.kind !== 'message') {
		return frame.kind;
	}

	if (Array.isArray(frame.body)) {
		return frame.channel;
	}

	const body = frame.body as Readonly<Record<string, unknown>>;
	const inner = Object.values(body).find(value => typeof value === 'object' && value !== null && 'kind' in value);
	const kind = body.kind ?? inner?.kind;
	return `${frame.channel}/${String(kind)}`;
}
