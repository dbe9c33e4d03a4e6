/** Runs the slot client, the arbiter election and, while elected, the arbiter of this entry. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {MemberId} from '../../base/member-id.js';
import type {Random} from '../../base/random.js';
import {repeat} from '../../base/repeat.js';
import type {Instance} from '../../runtime/instances/instance.js';
import type {InstanceList} from '../../runtime/instances/instance-list.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import type {TargetDriver} from '../../runtime/targets/target-driver.js';
import type {Membership} from '../membership/membership.js';
import {Arbiter} from './arbiter.js';
import {NetworkSlotClient} from './network-slot-client.js';
import type {PlacementPolicy} from './placement-policy.js';
import type {PlacementReply} from './placement-reply.js';
import {placementReplySchema} from './placement-reply-schema.js';
import type {PlacementRequest} from './placement-request.js';
import {placementRequestSchema} from './placement-request-schema.js';
import type {RoleTransfer} from './role-transfer.js';
import {ArbiterElection} from './arbiter-election.js';
import type {ElectionMessage} from './election-message.js';
import {electionMessageSchema} from './election-message-schema.js';

const channel = 'placement';
/** Interval between usage queries to targets with quarantined or orphaned slots. */
const usageQueryPeriodMilliseconds = 250;
/** Delay before the first usage query, so that the last requests of a dead entry have reached the targets. */
const settlingMilliseconds = 300;

const messageSchema = z.discriminatedUnion('to', [
	/** `stamp` is the sender's clock, which grants echo. */
	z.object({to: z.literal('arbiter'), stamp: z.number(), request: placementRequestSchema}),
	z.object({to: z.literal('desk'), reply: placementReplySchema}),
	z.object({to: z.literal('tenure'), message: electionMessageSchema}),
]);

type PlacementServiceParts = {
	readonly policy: PlacementPolicy;
	readonly quarantineMilliseconds: number;
	readonly network: PeerNetwork;
	readonly membership: Membership;
	readonly list: InstanceList;
	readonly driver: TargetDriver;
	readonly clock: Clock;
	readonly random: Random;
	readonly journal: Journal;
};

/** Routes messages between its components and the network. */
export class PlacementService implements Disposable {
	readonly #store = new DisposableStore();
	readonly #election: ArbiterElection;
	readonly #slotClient: NetworkSlotClient;
	#arbiter: Arbiter | undefined;
	#becameArbiterAt = 0;

	constructor(private readonly parts: PlacementServiceParts) {
		const {network, membership, clock, journal} = parts;
		this.#election = this.#store.add(new ArbiterElection(membership, clock, journal, (to, message) => {
			network.send(to, {channel, body: {to: 'tenure', message}});
		}));
		this.#slotClient = new NetworkSlotClient(membership, clock, journal, {
			sendRequest: (to, request) => {
				this.#sendRequest(to, request);
			},
			queryArbiter(of, zone) {
				network.send(of, {channel, body: {to: 'tenure', message: {kind: 'who', zone}}});
			},
		});
	}

	get slotClient(): NetworkSlotClient {
		return this.#slotClient;
	}

	get arbiter(): Arbiter | undefined {
		return this.#arbiter;
	}

	get election(): ArbiterElection {
		return this.#election;
	}

	start(): void {
		const {clock} = this.parts;
		this.#store.add(this.parts.network.onDidReceive(({from, message}) => {
			if (message.channel === channel) {
				this.#receive(from, message.body);
			}
		}));
		this.#store.add(this.#election.onDidChangeHolder(holder => {
			this.#slotClient.setArbiter(this.parts.membership.self.zone, holder);
		}));
		this.#store.add(this.#election.onDidBecomeArbiter(transfer => {
			this.#becomeArbiter(transfer);
		}));
		this.#store.add(this.#election.onDidLoseRole(() => {
			this.#arbiter = undefined;
		}));
		this.#store.add(this.parts.membership.onDidLose(loss => {
			this.#election.memberLost(loss);
			this.#slotClient.memberLost(loss);
			this.#arbiter?.removeRequester(loss.member.id);
		}));
		// Requests and replies may have been lost with the connection, so both sides compare their state.
		this.#store.add(this.parts.network.onDidReconnect(member => {
			this.#slotClient.memberReconnected(member.id);
			this.#arbiter?.requesterReconnected(member.id);
		}));
		this.#store.add(this.parts.list.onDidRead(({instances}) => {
			this.#arbiter?.setTargets(instances);
		}));
		this.#store.add(repeat(clock, ArbiterElection.tickMilliseconds, () => {
			this.#election.tick();
			this.#arbiter?.tick();
		}));
		this.#store.add(repeat(clock, NetworkSlotClient.tickMilliseconds, () => {
			this.#slotClient.tick();
		}));
		this.#store.add(repeat(clock, usageQueryPeriodMilliseconds, () => {
			this.#queryTargets();
		}));
	}

	/**
	 * Hands over the arbiter role if this entry has it. The entry continues to request slots until its jobs have
	 * ended.
	 */
	resign(): void {
		const now = this.parts.clock.now();
		const held = this.#arbiter?.leasedSlots.map(({requester, ticket, target, profile, leaseEndsAt}) => ({
			requester, ticket, target, profile, endsInMilliseconds: leaseEndsAt - now,
		}));
		const successor = this.#election.resign(held ?? []);
		this.parts.journal.record('tenureResigned', {successor: successor?.id, held: held?.length ?? 0});
	}

	dispose(): void {
		this.#store.dispose();
	}

	#receive(from: Member, body: unknown): void {
		const checked = messageSchema.safeParse(body);
		if (!checked.success) {
			this.parts.journal.record('peerMessageUnreadable', {peer: from.id, channel});
			return;
		}

		const message = checked.data;
		if (message.to === 'tenure') {
			this.#receiveTenure(from, message.message);
		} else if (message.to === 'arbiter') {
			this.#receiveRequest(from.id, message.stamp, message.request);
		} else {
			this.#slotClient.receive(from.id, message.reply);
		}
	}

	/** An announcement from another zone answers a query of the slot client. */
	#receiveTenure(from: Member, message: ElectionMessage): void {
		if (message.kind === 'holds' && message.zone !== this.parts.membership.self.zone) {
			this.#slotClient.setArbiter(message.zone, {member: message.holder, epoch: message.epoch});
		}

		this.#election.receive(from, message);
	}

	#receiveRequest(from: MemberId, stamp: number, request: PlacementRequest): void {
		if (this.#arbiter === undefined) {
			this.#sendReply(from, {kind: 'elsewhere', zone: this.parts.membership.self.zone});
			return;
		}

		this.#arbiter.receive(from, stamp, request);
	}

	#sendRequest(to: MemberId, request: PlacementRequest): void {
		const stamp = this.parts.clock.now();
		if (to === this.parts.membership.self.id) {
			queueMicrotask(() => {
				this.#receiveRequest(to, stamp, request);
			});
			return;
		}

		const member = this.parts.membership.findMember(to);
		if (member !== undefined) {
			this.parts.network.send(member, {channel, body: {to: 'arbiter', stamp, request}});
		}
	}

	#sendReply(to: MemberId, reply: PlacementReply): void {
		if (to === this.parts.membership.self.id) {
			queueMicrotask(() => {
				this.#slotClient.receive(to, reply);
			});
			return;
		}

		const member = this.parts.membership.findMember(to);
		if (member !== undefined) {
			this.parts.network.send(member, {channel, body: {to: 'desk', reply}});
		}
	}

	#becomeArbiter(transfer: RoleTransfer): void {
		const {zone} = this.parts.membership.self;
		const arbiter = new Arbiter({
			...this.parts,
			zone,
			sendReply: (to, reply) => {
				this.#sendReply(to, reply);
			},
			canGrant: () => this.#election.canGrant(),
		});
		this.#arbiter = arbiter;
		this.#becameArbiterAt = this.parts.clock.now();
		const instances: readonly Instance[] = this.parts.list.last?.instances ?? [];
		arbiter.setTargets(instances);
		if (transfer.kind === 'handover') {
			arbiter.adoptSlots(transfer.held);
			return;
		}

		arbiter.beginQuarantine();
	}

	#queryTargets(): void {
		const arbiter = this.#arbiter;
		const age = this.parts.clock.now() - this.#becameArbiterAt;
		if (arbiter === undefined || age < settlingMilliseconds) {
			return;
		}

		if (age > this.parts.quarantineMilliseconds) {
			arbiter.endQuarantine();
		}

		const unresolvedTargets = new Map([...arbiter.quarantinedTargets, ...arbiter.orphanedTargets].map(target => [target.id, target]));
		for (const target of unresolvedTargets.values()) {
			void this.#queryTarget(arbiter, target);
		}
	}

	async #queryTarget(arbiter: Arbiter, target: Instance): Promise<void> {
		const usage = await this.parts.driver.usage(target);
		if (usage !== undefined && arbiter === this.#arbiter) {
			arbiter.applyUsage(target.id, usage);
		}
	}
}
