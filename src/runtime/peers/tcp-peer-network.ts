/** The peer network over TCP or TLS. */
import type {AddressInfo, Server} from 'node:net';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import {repeat} from '../../base/repeat.js';
import type {Journal} from '../journal/journal.js';
import {AcceptedConnection} from './accepted-connection.js';
import type {ConnectionListener} from './connection-listener.js';
import {defaultPeerTiming} from './default-peer-timing.js';
import type {Member} from './member.js';
import {OtherVersions} from './other-versions.js';
import {OutgoingConnection} from './outgoing-connection.js';
import type {PeerMessage} from './peer-message.js';
import {PeerNetwork} from './peer-network.js';
import type {PeerTiming} from './peer-timing.js';
import type {PeerTraffic} from './peer-traffic.js';
import type {PeerTransport} from './peer-transport.js';
import type {ReceivedMessage} from './received-message.js';
import {TrafficCounter} from './traffic-counter.js';

/** The entry's identity, listening address and peer options. */
type Identity = {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	readonly address: string;
	readonly port: number;
	readonly key: string;
	readonly transport: PeerTransport;
	/** `IP:port` at which peers reach this entry, if different from its own address and port. */
	readonly advertised?: string;
	/** Defaults to `defaultPeerTiming`. */
	readonly timing?: PeerTiming;
};

/** Owns the listening socket, the accepted connections, and one outgoing connection per peer address. */
export class TcpPeerNetwork extends PeerNetwork implements Disposable {
	readonly #server: Server;
	readonly #counter = new TrafficCounter();
	readonly #acceptedConnections = new Set<AcceptedConnection>();
	readonly #outgoingConnections = new Map<string, OutgoingConnection>();
	readonly #membersByAddress = new Map<string, Member>();
	readonly #lastReceivedAt = new Map<MemberId, number>();
	readonly #unansweredSince = new Map<MemberId, number>();
	readonly #reconnectEmitter = new Emitter<Member>();
	readonly #lastStamps = new Map<MemberId, number>();
	readonly #lastAcknowledgedAt = new Map<MemberId, number>();
	readonly #receiveEmitter = new Emitter<ReceivedMessage>();
	readonly #discoverEmitter = new Emitter<Member>();
	readonly #confirmDeathEmitter = new Emitter<MemberId>();
	readonly #refuseEmitter = new Emitter<string>();
	readonly #otherVersions: OtherVersions;
	readonly #deadMembers = new Set<MemberId>();
	#monitoredAddresses: ReadonlySet<string> = new Set();
	/** Addresses that are dialled until a member is discovered there, monitored or not. */
	readonly #discoveryAddresses = new Set<string>();
	#self: Member;
	readonly #listener: ConnectionListener;
	/** One timer for all connections, which limits wake-ups in large fleets. */
	readonly #checkTimer: Disposable;

	constructor(private readonly identity: Identity, private readonly clock: Clock, private readonly journal: Journal) {
		super();
		this.#otherVersions = new OtherVersions(journal);
		this.#self = this.#createIncarnation(identity.port);
		this.#listener = this.#createListener();
		this.#checkTimer = repeat(clock, (identity.timing ?? defaultPeerTiming).checkInterval, () => {
			for (const connection of this.#outgoingConnections.values()) {
				connection.check();
			}
		});
		this.#server = identity.transport.createServer(socket => {
			const connection = new AcceptedConnection({
				...this.#connectionParts(),
				socket,
				onDidClose: () => {
					this.#acceptedConnections.delete(connection);
				},
			});
			this.#acceptedConnections.add(connection);
		});
	}

	override get self(): Member {
		return this.#self;
	}

	/** The port that the server is listening on. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	override get onDidReconnect() {
		return this.#reconnectEmitter.event;
	}

	override get traffic(): PeerTraffic {
		return this.#counter.total;
	}

	override get onDidReceive() {
		return this.#receiveEmitter.event;
	}

	override get onDidDiscover() {
		return this.#discoverEmitter.event;
	}

	override get onDidConfirmDeath() {
		return this.#confirmDeathEmitter.event;
	}

	override get onDidRefuseConnection() {
		return this.#refuseEmitter.event;
	}

	/** Starts listening; with port 0 the operating system assigns a port. Rejects if the address can't be bound. */
	async listen(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.identity.port, this.identity.address, resolve);
		});
		this.#self = this.#createIncarnation(this.port);
	}

	override send(to: Member, message: PeerMessage): void {
		if (!this.#unansweredSince.has(to.id)) {
			this.#unansweredSince.set(to.id, this.clock.now());
		}

		this.#connectionTo(to.peerAddress).send(to.id, message);
	}

	override monitor(peerAddresses: ReadonlySet<string>): void {
		this.#monitoredAddresses = peerAddresses;
		for (const [address, connection] of this.#outgoingConnections) {
			connection.isMonitored = peerAddresses.has(address);
			// Without a completed handshake the connection would be redialled for ever.
			if (!connection.isMonitored && !connection.hasCompletedHandshake && !this.#discoveryAddresses.has(address) && !this.#membersByAddress.has(address)) {
				connection.dispose();
				this.#outgoingConnections.delete(address);
			}
		}

		for (const address of peerAddresses) {
			this.#connectionTo(address);
		}
	}

	override discover(peerAddresses: ReadonlySet<string>): void {
		for (const address of peerAddresses) {
			this.#discoveryAddresses.add(address);
			this.#connectionTo(address);
		}
	}

	override lastReceivedAt(member: MemberId): number | undefined {
		return this.#lastReceivedAt.get(member);
	}

	override unansweredSince(member: MemberId): number | undefined {
		return this.#unansweredSince.get(member);
	}

	override lastAcknowledgedAt(member: MemberId): number | undefined {
		return this.#lastAcknowledgedAt.get(member);
	}

	override renewIncarnation(): void {
		this.#self = this.#createIncarnation(this.port);
		this.#disconnect();
		this.monitor(this.#monitoredAddresses);
	}

	dispose(): void {
		this.#checkTimer.dispose();
		this.#server.close();
		this.#disconnect();
		for (const emitter of [this.#receiveEmitter, this.#discoverEmitter, this.#confirmDeathEmitter, this.#refuseEmitter, this.#reconnectEmitter]) {
			emitter.dispose();
		}
	}

	#disconnect(): void {
		for (const connection of this.#outgoingConnections.values()) {
			connection.dispose();
		}

		this.#outgoingConnections.clear();
		for (const connection of this.#acceptedConnections) {
			connection.dispose();
		}
	}

	#createIncarnation(port: number): Member {
		const {instance, zone, address, advertised} = this.identity;
		const incarnation = `${this.clock.wallTime().toString(36)}${Math.floor(this.clock.now()).toString(36)}`;
		return {
			id: `${instance}#${incarnation}` as MemberId, instance, zone, peerAddress: advertised ?? `${address}:${port}`, hasExactTexts: true,
		};
	}

	#connectionTo(address: string): OutgoingConnection {
		const existing = this.#outgoingConnections.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const connection = new OutgoingConnection({...this.#connectionParts(), peerAddress: address}, this.#monitoredAddresses.has(address));
		this.#outgoingConnections.set(address, connection);
		return connection;
	}

	#connectionParts() {
		return {
			self: this.#self,
			key: this.identity.key,
			clock: this.clock,
			counter: this.#counter,
			listener: this.#listener,
			transport: this.identity.transport,
			timing: this.identity.timing ?? defaultPeerTiming,
		};
	}

	#createListener(): ConnectionListener {
		return {
			onHandshakeCompleted: member => {
				this.#handleHandshake(member);
			},
			onFrameReceived: member => {
				this.#unansweredSince.delete(member.id);
				this.#lastReceivedAt.set(member.id, this.clock.now());
			},
			onAcknowledged: (member, sentAt) => {
				this.#lastAcknowledgedAt.set(member.id, Math.max(sentAt, this.#lastAcknowledgedAt.get(member.id) ?? 0));
			},
			lastStampOf: member => this.#lastStamps.get(member.id) ?? 0,
			lastAcknowledgedAt: member => this.#lastAcknowledgedAt.get(member.id) ?? 0,
			onMessage: (from, message) => {
				this.#lastStamps.set(from.id, message.stamp);
				this.#lastAcknowledgedAt.set(from.id, Math.max(message.echo, this.#lastAcknowledgedAt.get(from.id) ?? 0));
				this.#receiveEmitter.fire({from, message});
			},
			onConnectionRefused: address => {
				this.#handleRefusal(address);
			},
			onVersionDiffers: (version, address) => {
				this.#otherVersions.record(version, address);
			},
			onHandshakeFailed: detail => {
				this.journal.record('strangerDropped', {detail});
			},
		};
	}

	#handleHandshake(member: Member): void {
		const previous = this.#membersByAddress.get(member.peerAddress);
		// A delayed handshake of a dead incarnation must not revive it.
		if (previous?.id === member.id || this.#deadMembers.has(member.id)) {
			this.#reconnectEmitter.fire(member);
			return;
		}

		this.#membersByAddress.set(member.peerAddress, member);
		if (previous !== undefined) {
			this.#markDead(previous);
		}

		this.#discoverEmitter.fire(member);
	}

	#handleRefusal(address: string): void {
		this.#closeUnmonitored(address);
		const member = this.#membersByAddress.get(address);
		if (member === undefined) {
			this.#refuseEmitter.fire(address);
			return;
		}

		this.#membersByAddress.delete(address);
		this.#markDead(member);
	}

	/** Stops dialling an address that refuses connections, unless it is monitored; sending to it dials again. */
	#closeUnmonitored(address: string): void {
		if (!this.#monitoredAddresses.has(address)) {
			this.#outgoingConnections.get(address)?.dispose();
			this.#outgoingConnections.delete(address);
		}
	}

	#markDead(member: Member): void {
		this.#deadMembers.add(member.id);
		// Listeners may still query the member's last contact, so its state is deleted afterwards.
		this.#confirmDeathEmitter.fire(member.id);
		this.#lastReceivedAt.delete(member.id);
		this.#lastAcknowledgedAt.delete(member.id);
		this.#lastStamps.delete(member.id);
		this.#unansweredSince.delete(member.id);
	}
}
