/** Peer connections in memory. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {Clock} from '../../src/base/clock.js';
import {Emitter} from '../../src/base/emitter.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {MemberId} from '../../src/base/member-id.js';
import type {Member} from '../../src/runtime/peers/member.js';
import type {PeerMessage} from '../../src/runtime/peers/peer-message.js';
import {PeerNetwork} from '../../src/runtime/peers/peer-network.js';
import type {ReceivedMessage} from '../../src/runtime/peers/received-message.js';

const delayMilliseconds = 1;

/** All members of a test's world, and the directions between them that are cut. */
export class InMemoryNetwork {
	readonly endpoints = new Map<MemberId, NetworkEnd>();
	framesSent = 0;
	/** `from>to`: so many milliseconds that a message takes that way, in place of one. */
	readonly linkDelays = new Map<string, number>();
	/** `from>to`: messages that way are lost. */
	readonly blockedLinks = new Set<string>();
	/** How a member reads what comes on one of its sockets, where it doesn't do so at once. */
	readonly receiveHandlers = new Map<MemberId, (socket: string, read: () => void) => void>();
	/** `from>to`: what waits for a connection that is broken. */
	readonly #broken = new Map<string, Array<() => void>>();
	/** By peer address, those that were killed as well. */
	readonly #ends = new Map<string, NetworkEnd>();
	/** `from>to`, both ways, of members that have met. */
	readonly #met = new Set<string>();

	constructor(readonly clock: Clock) {}

	/** A member's end; everybody meets it once the members have been connected. */
	join(name: string, zone: string): PeerNetwork {
		const member: Member = {
			id: `${name}#1` as MemberId, instance: name as InstanceId, zone: zone as AvailabilityZone, peerAddress: `10.0.0.${this.endpoints.size + 1}:1`,
		};
		const end = new NetworkEnd(this, member);
		this.endpoints.set(member.id, end);
		this.#ends.set(member.peerAddress, end);
		return end;
	}

	connect(): void {
		for (const end of this.endpoints.values()) {
			for (const other of this.endpoints.values()) {
				if (other !== end) {
					this.#met.add(`${end.self.id}>${other.self.id}`);
					end.meeting.fire(other.self);
				}
			}
		}
	}

	/** One member dials another, which meets it as well; nothing happens where they have met. */
	dial(from: NetworkEnd, address: string): void {
		const to = this.#ends.get(address);
		if (to === undefined || this.#met.has(`${from.self.id}>${to.self.id}`)) {
			return;
		}

		this.clock.schedule(delayMilliseconds, () => {
			if (this.#met.has(`${from.self.id}>${to.self.id}`) || !this.endpoints.has(from.self.id) || !this.endpoints.has(to.self.id)) {
				return;
			}

			for (const [near, far] of [[from, to], [to, from]] as const) {
				this.#met.add(`${near.self.id}>${far.self.id}`);
				near.meeting.fire(far.self);
			}
		});
	}

	/** Cuts a member off from all others, or lets it back. */
	isolate(name: string, isCut: boolean): void {
		for (const other of this.endpoints.keys()) {
			for (const way of [`${name}#1>${other}`, `${other}>${name}#1`]) {
				if (isCut) {
					this.blockedLinks.add(way);
				} else {
					this.blockedLinks.delete(way);
				}
			}
		}
	}

	/** A member finds its connection to another one made anew. */
	reconnect(name: string, other: string): void {
		const [end, far] = [name, other].map(member => this.endpoints.get(`${member}#1` as MemberId)) as [NetworkEnd, NetworkEnd];
		this.#read(end.self.id, `to ${far.self.id}`, () => {
			end.reconnecting.fire(far.self);
		});
	}

	/** The connection that one member sends on to another is broken: messages wait for the next one. */
	breakConnection(name: string, other: string): void {
		const way = `${name}#1>${other}#1`;
		this.#broken.set(way, this.#broken.get(way) ?? []);
	}

	/** A broken connection is made anew, and what waits for it goes out. */
	restoreConnection(name: string, other: string): void {
		const way = `${name}#1>${other}#1`;
		const waiting = this.#broken.get(way) ?? [];
		if (!this.#broken.delete(way) || !this.endpoints.has(`${name}#1` as MemberId)) {
			return;
		}

		this.reconnect(name, other);
		for (const send of waiting) {
			send();
		}
	}

	/** A member's process has ended: its port refuses connections. */
	kill(name: string): void {
		const id = `${name}#1` as MemberId;
		this.endpoints.delete(id);
		for (const end of this.endpoints.values()) {
			this.#read(end.self.id, `to ${id}`, () => {
				end.proof.fire(id);
			});
		}
	}

	carry(from: Member, to: MemberId, message: PeerMessage): void {
		const way = `${from.id}>${to}`;
		const waiting = this.#broken.get(way);
		if (waiting !== undefined) {
			waiting.push(() => {
				this.carry(from, to, message);
			});
			return;
		}

		this.framesSent += 1;
		this.clock.schedule(this.linkDelays.get(way) ?? delayMilliseconds, () => {
			if (!this.blockedLinks.has(way) && this.endpoints.has(from.id)) {
				this.#read(to, `from ${from.id}`, () => {
					this.endpoints.get(to)?.receiving.fire({from, message: structuredClone(message)});
				});
			}
		});
	}

	#read(member: MemberId, socket: string, read: () => void): void {
		const reader = this.receiveHandlers.get(member);
		if (reader === undefined) {
			read();
		} else {
			reader(socket, read);
		}
	}
}

class NetworkEnd extends PeerNetwork {
	readonly receiving = new Emitter<ReceivedMessage>();
	readonly meeting = new Emitter<Member>();
	readonly proof = new Emitter<MemberId>();
	readonly reconnecting = new Emitter<Member>();
	readonly refusing = new Emitter<string>();
	override readonly traffic = {
		sentFrames: 0, sentByKind: {}, sentBytes: 0, receivedFrames: 0, receivedBytes: 0,
	};

	override readonly onDidReceive = this.receiving.event;
	override readonly onDidDiscover = this.meeting.event;
	override readonly onDidConfirmDeath = this.proof.event;
	override readonly onDidReconnect = this.reconnecting.event;
	override readonly onDidRefuseConnection = this.refusing.event;

	constructor(private readonly network: InMemoryNetwork, override readonly self: Member) {
		super();
	}

	override send(to: Member, message: PeerMessage): void {
		this.network.carry(this.self, to.id, message);
	}

	override monitor(peerAddresses: ReadonlySet<string>): void {
		for (const address of peerAddresses) {
			this.network.dial(this, address);
		}
	}

	override discover(): void {
		// Everybody is connected.
	}

	override lastReceivedAt(): undefined {
		return undefined;
	}

	override unansweredSince(): undefined {
		return undefined;
	}

	override lastAcknowledgedAt(): undefined {
		return undefined;
	}

	override renewIncarnation(): void {
		// A test's member has one life.
	}
}
