/** An in-memory peer network. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {Clock} from '../../src/base/clock.js';
import {Emitter} from '../../src/base/emitter.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import type {MemberId} from '../../src/base/member-id.js';
import type {Member} from '../../src/runtime/peers/member.js';
import type {PeerMessage} from '../../src/runtime/peers/peer-message.js';
import {PeerNetwork} from '../../src/runtime/peers/peer-network.js';
import type {ReceivedMessage} from '../../src/runtime/peers/received-message.js';
import {throughFrame} from './through-frame.js';

const delayMilliseconds = 1;

/** Connects the members of a simulated cluster; links are directed and can be delayed, blocked or broken. */
export class InMemoryNetwork {
	readonly endpoints = new Map<MemberId, NetworkEndpoint>();
	framesSent = 0;
	readonly framesByChannel = new Map<string, number>();
	/** Channels that a member doesn't know, as one of a former version. */
	readonly unknownChannels = new Map<MemberId, string>();
	/** Latency of a link in milliseconds, by `from>to`; 1 ms by default. */
	readonly linkDelays = new Map<string, number>();
	/** Links on which messages are lost, as `from>to`. */
	readonly blockedLinks = new Set<string>();
	/** Overrides how a member reads its sockets; messages are read at once by default. */
	readonly receiveHandlers = new Map<MemberId, (socket: string, read: () => void) => void>();
	/** Messages queued on broken connections, by `from>to`. */
	readonly #queuedByLink = new Map<string, Array<() => void>>();
	/** All endpoints by peer address, including killed members. */
	readonly #endpointsByAddress = new Map<string, NetworkEndpoint>();
	/** Connected members as `from>to`, in both directions. */
	readonly #connected = new Set<string>();

	constructor(readonly clock: Clock) {}

	/** Adds a member; `connect` or `dial` connects it to the others. One of a former version doesn't receive all texts exactly. */
	join(name: string, zone: string, isFormer = false): PeerNetwork {
		const member: Member = {
			id: `${name}#1` as MemberId, instance: name as InstanceId, zone: zone as AvailabilityZone, peerAddress: `10.0.0.${this.endpoints.size + 1}:1`, ...(!isFormer && {hasExactTexts: true}),
		};
		const endpoint = new NetworkEndpoint(this, member);
		this.endpoints.set(member.id, endpoint);
		this.#endpointsByAddress.set(member.peerAddress, endpoint);
		return endpoint;
	}

	/** Connects every member to every other one. */
	connect(): void {
		for (const endpoint of this.endpoints.values()) {
			for (const other of this.endpoints.values()) {
				if (other !== endpoint) {
					this.#connected.add(`${endpoint.self.id}>${other.self.id}`);
					endpoint.meetEmitter.fire(other.self);
				}
			}
		}
	}

	/** Connects two members in both directions, unless they are already connected. */
	dial(from: NetworkEndpoint, address: string): void {
		const to = this.#endpointsByAddress.get(address);
		if (to === undefined || this.#connected.has(`${from.self.id}>${to.self.id}`)) {
			return;
		}

		this.clock.schedule(delayMilliseconds, () => {
			if (this.#connected.has(`${from.self.id}>${to.self.id}`) || !this.endpoints.has(from.self.id) || !this.endpoints.has(to.self.id)) {
				return;
			}

			for (const [member, peer] of [[from, to], [to, from]] as const) {
				this.#connected.add(`${member.self.id}>${peer.self.id}`);
				member.meetEmitter.fire(peer.self);
			}
		});
	}

	/** Blocks or unblocks all links of a member. */
	isolate(name: string, isIsolated: boolean): void {
		for (const other of this.endpoints.keys()) {
			for (const link of [`${name}#1>${other}`, `${other}>${name}#1`]) {
				if (isIsolated) {
					this.blockedLinks.add(link);
				} else {
					this.blockedLinks.delete(link);
				}
			}
		}
	}

	/** Reports a new connection to another member. */
	reconnect(name: string, other: string): void {
		const [endpoint, peer] = [name, other].map(member => this.endpoints.get(`${member}#1` as MemberId)) as [NetworkEndpoint, NetworkEndpoint];
		this.#receive(endpoint.self.id, `to ${peer.self.id}`, () => {
			endpoint.reconnectEmitter.fire(peer.self);
		});
	}

	/** Breaks the connection from one member to another; messages are queued until it is restored. */
	breakConnection(name: string, other: string): void {
		const link = `${name}#1>${other}#1`;
		this.#queuedByLink.set(link, this.#queuedByLink.get(link) ?? []);
	}

	/** Restores a broken connection and sends the queued messages. */
	restoreConnection(name: string, other: string): void {
		const link = `${name}#1>${other}#1`;
		const queued = this.#queuedByLink.get(link) ?? [];
		if (!this.#queuedByLink.delete(link) || !this.endpoints.has(`${name}#1` as MemberId)) {
			return;
		}

		this.reconnect(name, other);
		for (const send of queued) {
			send();
		}
	}

	/** Ends a member's process; the others learn that it is dead because its port refuses connections. */
	kill(name: string): void {
		const id = `${name}#1` as MemberId;
		this.endpoints.delete(id);
		for (const endpoint of this.endpoints.values()) {
			this.#receive(endpoint.self.id, `to ${id}`, () => {
				endpoint.deathEmitter.fire(id);
			});
		}
	}

	carry(from: Member, to: MemberId, message: PeerMessage): void {
		const link = `${from.id}>${to}`;
		const queued = this.#queuedByLink.get(link);
		if (queued !== undefined) {
			queued.push(() => {
				this.carry(from, to, message);
			});
			return;
		}

		this.framesSent += 1;
		this.framesByChannel.set(message.channel, (this.framesByChannel.get(message.channel) ?? 0) + 1);
		this.clock.schedule(this.linkDelays.get(link) ?? delayMilliseconds, () => {
			if (!this.blockedLinks.has(link) && this.endpoints.has(from.id) && this.unknownChannels.get(to) !== message.channel) {
				this.#receive(to, `from ${from.id}`, () => {
					const endpoint = this.endpoints.get(to);
					endpoint?.receiveEmitter.fire({from, message: throughFrame(message, endpoint.self.hasExactTexts !== true)});
				});
			}
		});
	}

	#receive(member: MemberId, socket: string, read: () => void): void {
		const handler = this.receiveHandlers.get(member);
		if (handler === undefined) {
			read();
		} else {
			handler(socket, read);
		}
	}
}

class NetworkEndpoint extends PeerNetwork {
	readonly receiveEmitter = new Emitter<ReceivedMessage>();
	readonly meetEmitter = new Emitter<Member>();
	readonly deathEmitter = new Emitter<MemberId>();
	readonly reconnectEmitter = new Emitter<Member>();
	readonly refuseEmitter = new Emitter<string>();
	override readonly traffic = {
		sentFrames: 0, sentByKind: {}, sentBytes: 0, receivedFrames: 0, receivedBytes: 0,
	};

	override readonly onDidReceive = this.receiveEmitter.event;
	override readonly onDidDiscover = this.meetEmitter.event;
	override readonly onDidConfirmDeath = this.deathEmitter.event;
	override readonly onDidReconnect = this.reconnectEmitter.event;
	override readonly onDidRefuseConnection = this.refuseEmitter.event;

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
		// `connect` and `dial` create all connections.
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
		// Members keep their id.
	}
}
