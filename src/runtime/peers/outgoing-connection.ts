/** The dialing side of a peer connection. */
import type {z} from 'zod';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {MemberId} from '../../base/member-id.js';
import type {ConnectionListener} from './connection-listener.js';
import {FrameSocket} from './frame-socket.js';
import {handshake} from './handshake.js';
import type {Member} from './member.js';
import type {peerFrameSchema} from './peer-frame.js';
import type {PeerMessage} from './peer-message.js';
import type {PeerTiming} from './peer-timing.js';
import type {PeerTransport} from './peer-transport.js';
import {protocolVersion} from './protocol-version.js';
import type {TrafficCounter} from './traffic-counter.js';

/** Limit of messages queued until the connection is established; the oldest are dropped, since senders retransmit. */
const queueLimit = 512;

type Frame = z.output<typeof peerFrameSchema>;
type QueuedMessage = {readonly to: MemberId; readonly message: PeerMessage};

type OutgoingConnectionParts = {
	readonly peerAddress: string;
	readonly self: Member;
	readonly key: string;
	readonly clock: Clock;
	readonly counter: TrafficCounter;
	readonly listener: ConnectionListener;
	readonly transport: PeerTransport;
	readonly timing: PeerTiming;
};

/** Owns the connection to one peer address and keeps it open while it is monitored or in use. */
export class OutgoingConnection implements Disposable {
	#socket: FrameSocket | undefined;
	#peer: Member | undefined;
	#nonce = '';
	#queue: QueuedMessage[] = [];
	#lastReceivedAt = 0;
	#lastPingAt = 0;
	#lastUsedAt: number;
	#isDisposed = false;
	#isConnected = false;
	#hasCompletedHandshake = false;
	#reconnectTimer: Disposable | undefined;

	constructor(private readonly parts: OutgoingConnectionParts, public isMonitored: boolean) {
		this.#lastUsedAt = parts.clock.now();
		this.#dial();
	}

	/** Whether a handshake was ever completed at this address. */
	get hasCompletedHandshake(): boolean {
		return this.#hasCompletedHandshake;
	}

	/** Sends a message, or queues it until the connection is established. */
	send(to: MemberId, message: PeerMessage): void {
		this.#lastUsedAt = this.parts.clock.now();
		if (this.#peer !== undefined) {
			this.#deliver({to, message});
			return;
		}

		this.#queue.push({to, message});
		if (this.#queue.length > queueLimit) {
			this.#queue.shift();
		}

		if (this.#socket === undefined && this.#reconnectTimer === undefined) {
			this.#dial();
		}
	}

	/** Dials, pings or closes the connection as needed; called periodically by the owner. */
	check(): void {
		if (this.#socket === undefined) {
			if (this.#reconnectTimer === undefined && this.#shouldStayOpen) {
				this.#dial();
			}

			return;
		}

		if (this.#peer === undefined && this.#isConnected && this.parts.clock.now() - this.#lastReceivedAt > this.parts.timing.silenceTimeout) {
			// Pings start only after the handshake, so a connection that hangs before it must be closed here.
			this.#socket.dispose();
			return;
		}

		const lastActiveAt = this.#peer === undefined ? this.#lastReceivedAt : Math.max(this.#lastReceivedAt, this.parts.listener.lastAcknowledgedAt(this.#peer));
		if (this.parts.clock.now() - lastActiveAt > this.parts.timing.silenceTimeout && this.#lastPingAt > lastActiveAt) {
			this.#socket.dispose();
			return;
		}

		if (this.#peer !== undefined && this.#shouldStayOpen && this.#isPingDue(this.#peer)) {
			this.#lastPingAt = this.parts.clock.now();
			this.#socket.send({kind: 'ping', stamp: this.#lastPingAt});
		}
	}

	dispose(): void {
		this.#isDisposed = true;
		this.#reconnectTimer?.dispose();
		this.#socket?.dispose();
	}

	get #shouldStayOpen(): boolean {
		// An address without a completed handshake is redialled until it responds or refuses, because joining entries wait to
		// learn whether it has an entry.
		return !this.#hasCompletedHandshake || this.isMonitored || this.parts.clock.now() - this.#lastUsedAt < this.parts.timing.idleTimeout;
	}

	#isPingDue(peer: Member): boolean {
		// Only acknowledgements count: frames may also arrive over the connection that the peer opened.
		return this.parts.clock.now() - this.parts.listener.lastAcknowledgedAt(peer) >= this.parts.timing.pingInterval;
	}

	#dial(): void {
		this.#reconnectTimer = undefined;
		if (this.#isDisposed) {
			return;
		}

		const [host = '', port = ''] = this.parts.peerAddress.split(':');
		const socket = this.parts.transport.dial(host, Number(port), () => {
			socket.setTimeout(0);
			this.#isConnected = true;
			frames.send({
				kind: 'hello', version: protocolVersion, nonce: this.#nonce, member: this.parts.self,
			});
		});
		socket.setTimeout(this.parts.timing.connectTimeout);
		this.#isConnected = false;
		this.#lastReceivedAt = this.parts.clock.now();
		this.#nonce = handshake.nonce();
		const frames = new FrameSocket(socket, this.parts.counter, frame => {
			this.#receive(frame);
		}, reason => {
			this.#handleClose(frames, reason);
		});
		this.#socket = frames;
		socket.on('timeout', () => {
			frames.dispose();
		});
	}

	#receive(frame: Frame): void {
		this.#lastReceivedAt = this.parts.clock.now();
		if (this.#peer !== undefined) {
			this.parts.listener.onFrameReceived(this.#peer);
			if (frame.kind === 'message') {
				this.parts.listener.onMessage(this.#peer, frame);
			} else if (frame.kind === 'pong') {
				this.parts.listener.onAcknowledged(this.#peer, frame.stamp);
			}

			return;
		}

		this.#completeHandshake(frame);
	}

	#completeHandshake(frame: Frame): void {
		if (frame.kind === 'version') {
			this.parts.listener.onVersionDiffers(frame.version, this.parts.peerAddress);
			this.#socket?.dispose();
			return;
		}

		if (frame.kind !== 'welcome' || !handshake.matches(handshake.proof(this.parts.key, 'listener', this.#nonce, frame.member.id), frame.proof)) {
			this.parts.listener.onHandshakeFailed(`invalid handshake from the listener at ${this.parts.peerAddress}`);
			this.#socket?.dispose();
			return;
		}

		this.#socket?.send({kind: 'proof', proof: handshake.proof(this.parts.key, 'dialer', frame.nonce, this.parts.self.id)});
		this.#peer = frame.member;
		this.#hasCompletedHandshake = true;
		this.parts.listener.onHandshakeCompleted(frame.member);
		this.parts.listener.onFrameReceived(frame.member);
		const queued = this.#queue;
		this.#queue = [];
		for (const entry of queued) {
			this.#deliver(entry);
		}
	}

	/** Sends a message; drops it if it is addressed to a previous incarnation, whose state the current one doesn't share. */
	#deliver(entry: QueuedMessage): void {
		if (entry.to === this.#peer?.id) {
			const {channel, body} = entry.message;
			this.#socket?.send({
				kind: 'message', channel, body, stamp: Math.floor(this.parts.clock.now()), echo: this.parts.listener.lastStampOf(this.#peer),
			}, this.#peer.hasExactTexts !== true);
		}
	}

	#handleClose(socket: FrameSocket, reason: string): void {
		if (socket !== this.#socket) {
			return;
		}

		this.#socket = undefined;
		this.#peer = undefined;
		if (reason === 'ECONNREFUSED') {
			this.parts.listener.onConnectionRefused(this.parts.peerAddress);
		}

		if (!this.#isDisposed && (this.#shouldStayOpen || this.#queue.length > 0)) {
			this.#reconnectTimer = this.parts.clock.schedule(this.parts.timing.redialDelay, () => {
				this.#dial();
			});
		}
	}
}
