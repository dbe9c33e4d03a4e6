/** The peer network over TCP. */
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
import {defaultPeerTiming} from './default-peer-timing.js';
import type {ConnectionListener} from './connection-listener.js';
import type {Member} from './member.js';
import {OutgoingConnection} from './outgoing-connection.js';
import type {PeerMessage} from './peer-message.js';
import {PeerNetwork} from './peer-network.js';
import type {PeerTiming} from './peer-timing.js';
import type {PeerTraffic} from './peer-traffic.js';
import type {PeerTransport} from './peer-transport.js';
import type {ReceivedMessage} from './received-message.js';
import {TrafficCounter} from './traffic-counter.js';

/** Who this entry is, and where it listens. */
type Identity = {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	readonly address: string;
	readonly port: number;
	readonly key: string;
	readonly transport: PeerTransport;
	/** Where peers reach this entry, if not at its own address. */
	readonly advertised?: string;
	/** The calm timing where absent. */
	readonly timing?: PeerTiming;
};

/** Owns the listening socket, all accepted connections, and one outgoing link for each peer address. */
export class TcpPeerNetwork extends PeerNetwork implements Disposable {
	readonly #server: Server;
	readonly #counter = new TrafficCounter();
	readonly #accepted = new Set<AcceptedConnection>();
	readonly #links = new Map<string, OutgoingConnection>();
	readonly #lives = new Map<string, Member>();
	readonly #heard = new Map<MemberId, number>();
	readonly #unanswered = new Map<MemberId, number>();
	readonly #reconnect = new Emitter<Member>();
	readonly #stamps = new Map<MemberId, number>();
	readonly #reached = new Map<MemberId, number>();
	readonly #receive = new Emitter<ReceivedMessage>();
	readonly #meet = new Emitter<Member>();
	readonly #proveDead = new Emitter<MemberId>();
	readonly #refuse = new Emitter<string>();
	readonly #dead = new Set<MemberId>();
	#watched: ReadonlySet<string> = new Set();
	/** Dialled until somebody there was met, watched or not. */
	readonly #sought = new Set<string>();
	#self: Member;
	readonly #listener: ConnectionListener;
	/** One for all links: a timer each would wake an entry of a large fleet all the time for nothing. */
	readonly #checks: Disposable;

	constructor(private readonly identity: Identity, private readonly clock: Clock, private readonly journal: Journal) {
		super();
		this.#self = this.#newLife(identity.port);
		this.#listener = this.#createListener();
		this.#checks = repeat(clock, (identity.timing ?? defaultPeerTiming).checkInterval, () => {
			for (const link of this.#links.values()) {
				link.check();
			}
		});
		this.#server = identity.transport.createServer(socket => {
			const connection = new AcceptedConnection({
				...this.#linkParts(),
				socket,
				onDidClose: () => {
					this.#accepted.delete(connection);
				},
			});
			this.#accepted.add(connection);
		});
	}

	override get self(): Member {
		return this.#self;
	}

	/** The port that the system gave. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	override get onDidReconnect() {
		return this.#reconnect.event;
	}

	override get traffic(): PeerTraffic {
		return this.#counter.total;
	}

	override get onDidReceive() {
		return this.#receive.event;
	}

	override get onDidDiscover() {
		return this.#meet.event;
	}

	override get onDidConfirmDeath() {
		return this.#proveDead.event;
	}

	override get onDidRefuseConnection() {
		return this.#refuse.event;
	}

	/** Listens; with port 0 the system gives one. */
	async listen(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.identity.port, this.identity.address, resolve);
		});
		this.#self = this.#newLife(this.port);
	}

	override send(to: Member, message: PeerMessage): void {
		if (!this.#unanswered.has(to.id)) {
			this.#unanswered.set(to.id, this.clock.now());
		}

		this.#linkTo(to.peerAddress).send(to.id, message);
	}

	override monitor(peerAddresses: ReadonlySet<string>): void {
		this.#watched = peerAddresses;
		for (const [address, link] of this.#links) {
			link.isMonitored = peerAddresses.has(address);
			// Nobody waits to meet whoever is there, and the link would dial until it's answered.
			if (!link.isMonitored && !link.hasCompletedHandshake && !this.#sought.has(address) && !this.#lives.has(address)) {
				link.dispose();
				this.#links.delete(address);
			}
		}

		for (const address of peerAddresses) {
			this.#linkTo(address);
		}
	}

	override discover(peerAddresses: ReadonlySet<string>): void {
		for (const address of peerAddresses) {
			this.#sought.add(address);
			this.#linkTo(address);
		}
	}

	override lastReceivedAt(member: MemberId): number | undefined {
		return this.#heard.get(member);
	}

	override unansweredSince(member: MemberId): number | undefined {
		return this.#unanswered.get(member);
	}

	override lastAcknowledgedAt(member: MemberId): number | undefined {
		return this.#reached.get(member);
	}

	override renewIncarnation(): void {
		this.#self = this.#newLife(this.port);
		this.#disconnect();
		this.monitor(this.#watched);
	}

	dispose(): void {
		this.#checks.dispose();
		this.#server.close();
		this.#disconnect();
		for (const emitter of [this.#receive, this.#meet, this.#proveDead, this.#refuse, this.#reconnect]) {
			emitter.dispose();
		}
	}

	#disconnect(): void {
		for (const link of this.#links.values()) {
			link.dispose();
		}

		this.#links.clear();
		for (const connection of this.#accepted) {
			connection.dispose();
		}
	}

	#newLife(port: number): Member {
		const {instance, zone, address, advertised} = this.identity;
		const incarnation = `${this.clock.wallTime().toString(36)}${Math.floor(this.clock.now()).toString(36)}`;
		return {
			id: `${instance}#${incarnation}` as MemberId, instance, zone, peerAddress: advertised ?? `${address}:${port}`,
		};
	}

	#linkTo(address: string): OutgoingConnection {
		const known = this.#links.get(address);
		if (known !== undefined) {
			return known;
		}

		const link = new OutgoingConnection({...this.#linkParts(), peerAddress: address}, this.#watched.has(address));
		this.#links.set(address, link);
		return link;
	}

	#linkParts() {
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
				this.#met(member);
			},
			onFrameReceived: member => {
				this.#unanswered.delete(member.id);
				this.#heard.set(member.id, this.clock.now());
			},
			onAcknowledged: (member, sentAt) => {
				this.#reached.set(member.id, Math.max(sentAt, this.#reached.get(member.id) ?? 0));
			},
			lastStampOf: member => this.#stamps.get(member.id) ?? 0,
			lastAcknowledgedAt: member => this.#reached.get(member.id) ?? 0,
			onMessage: (from, message) => {
				this.#stamps.set(from.id, message.stamp);
				this.#reached.set(from.id, Math.max(message.echo, this.#reached.get(from.id) ?? 0));
				this.#receive.fire({from, message});
			},
			onConnectionRefused: address => {
				this.#refused(address);
			},
			onHandshakeFailed: detail => {
				this.journal.record('strangerDropped', {detail});
			},
		};
	}

	#met(member: Member): void {
		const earlier = this.#lives.get(member.peerAddress);
		// A handshake of an earlier life may arrive after a later one was met; it must not bring that life back.
		if (earlier?.id === member.id || this.#dead.has(member.id)) {
			this.#reconnect.fire(member);
			return;
		}

		this.#lives.set(member.peerAddress, member);
		if (earlier !== undefined) {
			this.#forget(earlier);
		}

		this.#meet.fire(member);
	}

	#refused(address: string): void {
		this.#dropUnwatched(address);
		const member = this.#lives.get(address);
		if (member === undefined) {
			this.#refuse.fire(address);
			return;
		}

		this.#lives.delete(address);
		this.#forget(member);
	}

	/** A port that refuses isn't dialled again unless it's listed, or somebody sends there. */
	#dropUnwatched(address: string): void {
		if (!this.#watched.has(address)) {
			this.#links.get(address)?.dispose();
			this.#links.delete(address);
		}
	}

	#forget(member: Member): void {
		this.#dead.add(member.id);
		// Whoever learns of the loss may still ask when the member was heard and reached last.
		this.#proveDead.fire(member.id);
		this.#heard.delete(member.id);
		this.#reached.delete(member.id);
		this.#stamps.delete(member.id);
		this.#unanswered.delete(member.id);
	}
}
