/** The dialing end of a peer connection. */
import type {z} from 'zod';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {MemberId} from '../../base/member-id.js';
import {FrameSocket} from './frame-socket.js';
import {handshake} from './handshake.js';
import type {ConnectionListener} from './connection-listener.js';
import type {Member} from './member.js';
import type {peerFrameSchema} from './peer-frame.js';
import type {PeerMessage} from './peer-message.js';
import type {PeerTiming} from './peer-timing.js';
import type {PeerTransport} from './peer-transport.js';
import type {TrafficCounter} from './traffic-counter.js';

/** Messages that wait for the connection; older ones are dropped, since their senders send again. */
const queueLimit = 512;

type Frame = z.output<typeof peerFrameSchema>;
type QueuedMessage = {readonly to: MemberId; readonly message: PeerMessage};

type OutgoingLinkParts = {
	readonly peerAddress: string;
	readonly self: Member;
	readonly key: string;
	readonly clock: Clock;
	readonly counter: TrafficCounter;
	readonly listener: ConnectionListener;
	readonly transport: PeerTransport;
	readonly timing: PeerTiming;
};

/** Owns the connection to one peer address, and keeps it alive while it's watched or used. */
export class OutgoingConnection implements Disposable {
	#socket: FrameSocket | undefined;
	#peer: Member | undefined;
	#nonce = '';
	#queue: QueuedMessage[] = [];
	#heardAt = 0;
	#pingedAt = 0;
	#usedAt: number;
	#isDisposed = false;
	#isConnected = false;
	#hasMet = false;
	#redial: Disposable | undefined;

	constructor(private readonly parts: OutgoingLinkParts, public isMonitored: boolean) {
		this.#usedAt = parts.clock.now();
		this.#dial();
	}

	/** Whether somebody answered here once. */
	get hasCompletedHandshake(): boolean {
		return this.#hasMet;
	}

	send(to: MemberId, message: PeerMessage): void {
		this.#usedAt = this.parts.clock.now();
		if (this.#peer !== undefined) {
			this.#deliver({to, message});
			return;
		}

		this.#queue.push({to, message});
		if (this.#queue.length > queueLimit) {
			this.#queue.shift();
		}

		if (this.#socket === undefined && this.#redial === undefined) {
			this.#dial();
		}
	}

	/** Dials, pings or closes as it's due; its owner calls this regularly. */
	check(): void {
		if (this.#socket === undefined) {
			if (this.#redial === undefined && this.#isWanted) {
				this.#dial();
			}

			return;
		}

		if (this.#peer === undefined && this.#isConnected && this.parts.clock.now() - this.#heardAt > this.parts.timing.silenceTimeout) {
			// The connection has gone silent before its handshake was answered: nothing is pinged on it that could show so.
			this.#socket.dispose();
			return;
		}

		const aliveAt = this.#peer === undefined ? this.#heardAt : Math.max(this.#heardAt, this.parts.listener.lastAcknowledgedAt(this.#peer));
		if (this.parts.clock.now() - aliveAt > this.parts.timing.silenceTimeout && this.#pingedAt > aliveAt) {
			this.#socket.dispose();
			return;
		}

		if (this.#peer !== undefined && this.#isWanted && this.#isQuiet(this.#peer)) {
			this.#pingedAt = this.parts.clock.now();
			this.#socket.send({kind: 'ping', stamp: this.#pingedAt});
		}
	}

	dispose(): void {
		this.#isDisposed = true;
		this.#redial?.dispose();
		this.#socket?.dispose();
	}

	get #isWanted(): boolean {
		// An address that never answered is dialled until it does or refuses: as long as it does neither, nobody can tell
		// whether an entry is there, and its zone's newcomers wait.
		return !this.#hasMet || this.isMonitored || this.parts.clock.now() - this.#usedAt < this.parts.timing.idleTimeout;
	}

	#isQuiet(peer: Member): boolean {
		// What comes from the peer over its own connection says nothing of this one: only an answer does.
		return this.parts.clock.now() - this.parts.listener.lastAcknowledgedAt(peer) >= this.parts.timing.pingInterval;
	}

	#dial(): void {
		this.#redial = undefined;
		if (this.#isDisposed) {
			return;
		}

		const [host = '', port = ''] = this.parts.peerAddress.split(':');
		const socket = this.parts.transport.dial(host, Number(port), () => {
			socket.setTimeout(0);
			this.#isConnected = true;
			frames.send({
				kind: 'hello', version: 1, nonce: this.#nonce, member: this.parts.self,
			});
		});
		socket.setTimeout(this.parts.timing.connectTimeout);
		this.#isConnected = false;
		this.#heardAt = this.parts.clock.now();
		this.#nonce = handshake.nonce();
		const frames = new FrameSocket(socket, this.parts.counter, frame => {
			this.#receive(frame);
		}, reason => {
			this.#closed(frames, reason);
		});
		this.#socket = frames;
		socket.on('timeout', () => {
			frames.dispose();
		});
	}

	#receive(frame: Frame): void {
		this.#heardAt = this.parts.clock.now();
		if (this.#peer !== undefined) {
			this.parts.listener.onFrameReceived(this.#peer);
			if (frame.kind === 'message') {
				this.parts.listener.onMessage(this.#peer, frame);
			} else if (frame.kind === 'pong') {
				this.parts.listener.onAcknowledged(this.#peer, frame.stamp);
			}

			return;
		}

		this.#prove(frame);
	}

	#prove(frame: Frame): void {
		if (frame.kind !== 'welcome' || !handshake.matches(handshake.proof(this.parts.key, 'listener', this.#nonce, frame.member.id), frame.proof)) {
			this.parts.listener.onHandshakeFailed(`listener at ${this.parts.peerAddress}`);
			this.#socket?.dispose();
			return;
		}

		this.#socket?.send({kind: 'proof', proof: handshake.proof(this.parts.key, 'dialer', frame.nonce, this.parts.self.id)});
		this.#peer = frame.member;
		this.#hasMet = true;
		this.parts.listener.onHandshakeCompleted(frame.member);
		this.parts.listener.onFrameReceived(frame.member);
		const queued = this.#queue;
		this.#queue = [];
		for (const entry of queued) {
			this.#deliver(entry);
		}
	}

	/** A message to an earlier life is dropped: the present one doesn't know what the earlier one was told. */
	#deliver(entry: QueuedMessage): void {
		if (entry.to === this.#peer?.id) {
			const stamp = Math.floor(this.parts.clock.now());
			this.#socket?.send({
				kind: 'message', ...entry.message, stamp, echo: this.parts.listener.lastStampOf(this.#peer),
			});
		}
	}

	#closed(socket: FrameSocket, reason: string): void {
		if (socket !== this.#socket) {
			return;
		}

		this.#socket = undefined;
		this.#peer = undefined;
		if (reason === 'ECONNREFUSED') {
			this.parts.listener.onConnectionRefused(this.parts.peerAddress);
		}

		if (!this.#isDisposed && (this.#isWanted || this.#queue.length > 0)) {
			this.#redial = this.parts.clock.schedule(this.parts.timing.redialDelay, () => {
				this.#dial();
			});
		}
	}
}
