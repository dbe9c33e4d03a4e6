/** Which targets this entry owns, and by what right. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {FencingToken} from '../../base/fencing-token.js';
import {hashText} from '../../base/hash-text.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {OwnershipGroupName} from '../../base/ownership-group-name.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Executor} from '../execution/executor.js';
import type {Handover} from '../execution/handover.js';
import type {TargetCatalogue} from '../targets/target-catalogue.js';
import type {TargetOrders} from '../targets/target-orders.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {ZoneEvacuations} from '../targets/zone-evacuations.js';
import {removeFormerMembers} from './remove-former-members.js';
import {GroupMember} from './group-member.js';
import type {PartitionGroup} from './partition-group.js';

/** How often the store is asked whether a zone that can't be heard has entries of its own. */
const considerMilliseconds = 500;

/** So many targets of a zone are asked for a sign before it's covered: one of them may be down by itself. */
const targetsToTry = 3;
/** A target that is reached answers within this, also at a small entry's busiest moments. */
const signLimitMilliseconds = 120;
/** A target that has had an owner rejects it, which is as good a sign as any answer. */
const lowestToken = 0 as FencingToken;

type OwnershipParts = {
	readonly zone: AvailabilityZone;
	/** Names this life of the entry in the groups. */
	readonly member: string;
	readonly store: PartitionGroup;
	readonly catalogue: TargetCatalogue;
	readonly evacuations: ZoneEvacuations;
	readonly executor: Executor;
	readonly orders: TargetOrders;
	readonly clock: Clock;
	readonly journal: Journal;
};

/**
 * The targets of each zone are shared out among the entries of that zone, so that a zone which is cut off goes on with all
 * of its own targets. A zone without an entry is covered by an entry of another one, which joins that zone's group.
 */
export class Ownership implements Disposable {
	readonly #members = new Map<AvailabilityZone, GroupMember>();
	readonly #consideredAt = new Map<AvailabilityZone, number>();
	readonly #handOver = new Emitter<readonly Handover[]>();
	readonly #subscriptions: readonly Disposable[];
	#isLeaving = false;

	constructor(private readonly parts: OwnershipParts) {
		this.#subscriptions = [parts.catalogue.onDidChange, parts.evacuations.onDidChange].map(onDidChange => onDidChange(() => {
			this.#assign();
		}));
	}

	/** Fires when targets were given up: the entry that gets them next needs these. */
	get onDidHandOver() {
		return this.#handOver.event;
	}

	/** Joins the groups of its own zone and of the zones to cover, and leaves the others. */
	coverZones(zones: ReadonlySet<AvailabilityZone>): void {
		if (!this.#members.has(this.parts.zone)) {
			this.#join(this.parts.zone);
		}

		for (const zone of zones) {
			void this.#considerCovering(zone);
		}

		for (const [zone, member] of this.#members) {
			if (zone !== this.parts.zone && !zones.has(zone)) {
				void this.#leave(zone, member);
			}
		}
	}

	/** Somebody gave up targets: they may be this entry's now. */
	renew(): void {
		for (const member of this.#members.values()) {
			member.renew();
		}
	}

	/** Gives up all targets, with what runs there. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		const members = [...this.#members];
		await Promise.all(members.map(async ([zone, member]) => this.#leave(zone, member)));
	}

	dispose(): void {
		for (const subscription of this.#subscriptions) {
			subscription.dispose();
		}

		this.#handOver.dispose();
		for (const member of this.#members.values()) {
			member.dispose();
		}
	}

	/**
	 * A zone whose entries can't be heard may just be cut off, and its targets with it: then its group still has members of
	 * its own, and joining would take targets from those who reach them. Asked again while the zone is covered.
	 */
	async #considerCovering(zone: AvailabilityZone): Promise<void> {
		const {store, clock, journal} = this.parts;
		const now = clock.now();
		if (now - (this.#consideredAt.get(zone) ?? Number.NEGATIVE_INFINITY) < considerMilliseconds) {
			return;
		}

		this.#consideredAt.set(zone, now);
		const holders = await store.holders(groupOf(zone));
		const isStaffed = holders === undefined || [...holders].some(holder => holder.startsWith(memberPrefixOf(zone)));
		const member = this.#members.get(zone);
		if (isStaffed === (member === undefined) || this.#isLeaving) {
			return;
		}

		const isReached = member !== undefined || await this.#reaches(zone);
		if (!isReached || this.#isLeaving) {
			return;
		}

		journal.record('zoneCovered', {zone, isCovered: !isStaffed, holders: holders?.size});
		if (member === undefined) {
			this.#join(zone);
		} else if (holders !== undefined) {
			await this.#leave(zone, member);
		}
	}

	/**
	 * Whether a target of the zone answers. A zone that is cut off from the store as well as from the other zones loses its
	 * places in its group, but its entries go on with their targets, which nobody else reaches.
	 */
	async #reaches(zone: AvailabilityZone): Promise<boolean> {
		const {catalogue, orders} = this.parts;
		const targets = [...catalogue.targets.values()].filter(target => target.zone === zone).slice(0, targetsToTry);
		const answers = await Promise.all(targets.map(async target => {
			const reply = await orders.renew(target, {
				fence: lowestToken, acknowledged: 0, leaseUntil: undefined, waitMilliseconds: 0, limitMilliseconds: signLimitMilliseconds,
			});
			orders.disconnect(target);
			return reply.kind !== 'unreachable' && reply.kind !== 'unanswered';
		}));
		return answers.some(Boolean);
	}

	#join(zone: AvailabilityZone): void {
		const {store, clock, journal} = this.parts;
		const joined = new GroupMember({
			group: groupOf(zone),
			member: this.#name,
			store,
			clock,
			journal,
			listener: {
				onDidChangeClaim: () => {
					this.#assign();
				},
				onWillRelease: async lost => this.#release(zone, lost),
			},
		});
		this.#members.set(zone, joined);
		joined.renew();
		void this.#takeOver(zone, joined);
	}

	/** What this life of the entry is called in each group. */
	get #name(): string {
		return `${memberPrefixOf(this.parts.zone)}${this.parts.member}`;
	}

	/** What a former life of this entry held is free now, and not only after its time to live. */
	async #takeOver(zone: AvailabilityZone, joined: GroupMember): Promise<void> {
		const {store, journal} = this.parts;
		const hadFormer = await removeFormerMembers({group: groupOf(zone), member: this.#name}, store, journal);
		if (hadFormer) {
			joined.renew();
		}
	}

	async #leave(zone: AvailabilityZone, member: GroupMember): Promise<void> {
		this.#members.delete(zone);
		const partitions = member.claim?.partitions ?? new Set<number>();
		// The word of what runs there goes out first: the next owner may be there as soon as the group knows.
		await this.#release(zone, partitions);
		await member.leave();
		this.#handOver.fire([]);
	}

	async #release(zone: AvailabilityZone, partitions: ReadonlySet<number>): Promise<void> {
		const ids = [...this.parts.catalogue.targets.values()].filter(target => target.zone === zone && partitions.has(this.#partitionOf(target.id)));
		const handovers = await this.parts.executor.release(new Set(ids.map(target => target.id)));
		if (handovers.length > 0) {
			this.#handOver.fire(handovers);
		}
	}

	#assign(): void {
		const owned = new Map<InstanceId, {readonly target: TargetRecord; readonly fence: FencingToken}>();
		for (const target of this.parts.catalogue.targets.values()) {
			const claim = this.#members.get(target.zone)?.claim;
			if (claim?.partitions.has(this.#partitionOf(target.id))) {
				owned.set(target.id, {target: this.#asOrdered(target), fence: claim.fence});
			}
		}

		this.parts.executor.assign(owned);
	}

	/** A target of an evacuated zone is treated as one that announced its leaving itself. */
	#asOrdered(target: TargetRecord): TargetRecord {
		return this.parts.evacuations.has(target.zone) ? {...target, isDraining: true} : target;
	}

	#partitionOf(target: InstanceId): number {
		return hashText(target) % this.parts.store.partitionCount;
	}
}

function groupOf(zone: AvailabilityZone): OwnershipGroupName {
	return `targets.${zone}` as OwnershipGroupName;
}

/** Members are named after their own zone, so that those of another one can be told apart. */
function memberPrefixOf(zone: AvailabilityZone): string {
	return `${zone}/`;
}
