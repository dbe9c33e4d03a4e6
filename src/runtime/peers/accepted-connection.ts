/** The listening end of a peer connection. */
import type {Socket} from 'node:net';
import type {z} from 'zod';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {FrameSocket} from './frame-socket.js';
import {handshake} from './handshake.js';
import type {ConnectionListener} from './connection-listener.js';
import type {Member} from './member.js';
import type {peerFrameSchema} from './peer-frame.js';
import type {TrafficCounter} from './traffic-counter.js';

/** A stranger who connects and says nothing holds a socket for no longer than this. */
const handshakeLimitMilliseconds = 2000;
/** Above the dialer's own limit: a connection that is idle for good reason still gets pings. */
const silenceLimitMilliseconds = 30_000;

type Frame = z.output<typeof peerFrameSchema>;

type AcceptedConnectionParts = {
	readonly socket: Socket;
	readonly self: Member;
	readonly key: string;
	readonly clock: Clock;
	readonly counter: TrafficCounter;
	readonly listener: ConnectionListener;
	readonly onDidClose: () => void;
};

/** Owns one accepted socket; nothing that comes before the proof reaches the features. */
export class AcceptedConnection implements Disposable {
	readonly #frames: FrameSocket;
	readonly #nonce = handshake.nonce();
	#claimed: Member | undefined;
	#peer: Member | undefined;
	readonly #limit: Disposable;

	constructor(private readonly parts: AcceptedConnectionParts) {
		const {socket, clock, counter, onDidClose} = parts;
		this.#frames = new FrameSocket(socket, counter, frame => {
			this.#receive(frame);
		}, () => {
			this.#limit.dispose();
			onDidClose();
		});
		this.#limit = clock.schedule(handshakeLimitMilliseconds, () => {
			this.#stranger('no handshake in time');
		});
		socket.setTimeout(silenceLimitMilliseconds, () => {
			this.#frames.dispose();
		});
	}

	dispose(): void {
		this.#limit.dispose();
		this.#frames.dispose();
	}

	#receive(frame: Frame): void {
		if (this.#peer !== undefined) {
			this.#receiveFrom(this.#peer, frame);
			return;
		}

		if (frame.kind === 'hello' && this.#claimed === undefined) {
			this.#claimed = frame.member;
			const proof = handshake.proof(this.parts.key, 'listener', frame.nonce, this.parts.self.id);
			this.#frames.send({
				kind: 'welcome', version: 1, nonce: this.#nonce, proof, member: this.parts.self,
			});
			return;
		}

		this.#prove(frame);
	}

	#prove(frame: Frame): void {
		const member = this.#claimed;
		if (frame.kind !== 'proof' || member === undefined || !handshake.matches(handshake.proof(this.parts.key, 'dialer', this.#nonce, member.id), frame.proof)) {
			this.#stranger('no proof of the shared key');
			return;
		}

		this.#limit.dispose();
		this.#peer = member;
		this.parts.listener.onHandshakeCompleted(member);
		this.parts.listener.onFrameReceived(member);
	}

	#receiveFrom(member: Member, frame: Frame): void {
		this.parts.listener.onFrameReceived(member);
		if (frame.kind === 'ping') {
			this.#frames.send({kind: 'pong', stamp: frame.stamp});
		} else if (frame.kind === 'message') {
			this.parts.listener.onMessage(member, frame);
		}
	}

	#stranger(detail: string): void {
		this.parts.listener.onHandshakeFailed(detail);
		this.#frames.dispose();
	}
}
