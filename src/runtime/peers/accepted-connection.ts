/** The accepting side of a peer connection. */
import type {Socket} from 'node:net';
import type {z} from 'zod';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {ConnectionListener} from './connection-listener.js';
import {FrameSocket} from './frame-socket.js';
import {handshake} from './handshake.js';
import type {Member} from './member.js';
import type {peerFrameSchema} from './peer-frame.js';
import {protocolVersion} from './protocol-version.js';
import type {TrafficCounter} from './traffic-counter.js';

/** Closes connections that don't complete the handshake in time. */
const handshakeTimeoutMilliseconds = 2000;
/** Closes accepted connections without traffic; above the silence timeout of the dialer. */
const idleTimeoutMilliseconds = 30_000;

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

/** Owns one accepted socket and authenticates the peer; messages are delivered only after the handshake. */
export class AcceptedConnection implements Disposable {
	readonly #frames: FrameSocket;
	readonly #nonce = handshake.nonce();
	#unverifiedPeer: Member | undefined;
	#peer: Member | undefined;
	readonly #handshakeTimeout: Disposable;

	constructor(private readonly parts: AcceptedConnectionParts) {
		const {socket, clock, counter, onDidClose} = parts;
		this.#frames = new FrameSocket(socket, counter, frame => {
			this.#receive(frame);
		}, () => {
			this.#handshakeTimeout.dispose();
			onDidClose();
		});
		this.#handshakeTimeout = clock.schedule(handshakeTimeoutMilliseconds, () => {
			this.#reject('handshake timed out');
		});
		socket.setTimeout(idleTimeoutMilliseconds, () => {
			this.#frames.dispose();
		});
	}

	dispose(): void {
		this.#handshakeTimeout.dispose();
		this.#frames.dispose();
	}

	#receive(frame: Frame): void {
		if (this.#peer !== undefined) {
			this.#handleFrame(this.#peer, frame);
			return;
		}

		if (frame.kind === 'hello' && this.#unverifiedPeer === undefined) {
			this.#unverifiedPeer = frame.member;
			const proof = handshake.proof(this.parts.key, 'listener', frame.nonce, this.parts.self.id);
			this.#frames.send({
				kind: 'welcome', version: protocolVersion, nonce: this.#nonce, proof, member: this.parts.self,
			});
			return;
		}

		if (frame.kind === 'version') {
			this.parts.listener.onVersionDiffers(frame.version, this.parts.socket.remoteAddress ?? '');
			this.#frames.send({kind: 'version', version: protocolVersion});
			this.#frames.dispose();
			return;
		}

		this.#completeHandshake(frame);
	}

	#completeHandshake(frame: Frame): void {
		const member = this.#unverifiedPeer;
		if (frame.kind !== 'proof' || member === undefined || !handshake.matches(handshake.proof(this.parts.key, 'dialer', this.#nonce, member.id), frame.proof)) {
			this.#reject('invalid proof of the shared key');
			return;
		}

		this.#handshakeTimeout.dispose();
		this.#peer = member;
		this.parts.listener.onHandshakeCompleted(member);
		this.parts.listener.onFrameReceived(member);
	}

	#handleFrame(member: Member, frame: Frame): void {
		this.parts.listener.onFrameReceived(member);
		if (frame.kind === 'ping') {
			this.#frames.send({kind: 'pong', stamp: frame.stamp});
		} else if (frame.kind === 'message') {
			this.parts.listener.onMessage(member, frame);
		}
	}

	#reject(detail: string): void {
		this.parts.listener.onHandshakeFailed(detail);
		this.#frames.dispose();
	}
}
