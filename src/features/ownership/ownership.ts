/** Ownership of targets by this entry. */
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
import {GroupMember} from './group-member.js';
import type {PartitionGroup} from './partition-group.js';
import {removeFormerMembers} from './remove-former-members.js';

/** Minimum interval of checks whether an unreachable zone has entries of its own. */
const coverageCheckMilliseconds = 500;

/** Number of targets of a zone to probe before covering it; single ones may be down. */
const maxProbedTargets = 3;
/** Time limit of a probe; a reachable target answers within this time, also to a small entry at its busiest. */
const probeLimitMilliseconds = 120;
/** The lowest token: a target that has an owner rejects it, which shows that it is reachable. */
const probeToken = 0 as FencingToken;

type OwnershipParts = {
	readonly zone: AvailabilityZone;
	/** Identifies this process of the entry in the groups. */
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
 * Distributes the targets of each zone among the zone's entries, so that an isolated zone keeps its targets. A zone without
 * entries is covered by an entry of another zone, which joins that zone's group.
 */
export class Ownership implements Disposable {
	readonly #members = new Map<AvailabilityZone, GroupMember>();
	readonly #coverageCheckedAt = new Map<AvailabilityZone, number>();
	readonly #handedOver = new Emitter<readonly Handover[]>();
	readonly #subscriptions: readonly Disposable[];
	#isLeaving = false;

	constructor(private readonly parts: OwnershipParts) {
		this.#subscriptions = [parts.catalogue.onDidChange, parts.evacuations.onDidChange].map(onDidChange => onDidChange(() => {
			this.#assign();
		}));
	}

	/** Fires when targets were released, with the handovers for their next owners. */
	get onDidHandOver() {
		return this.#handedOver.event;
	}

	/** Joins the groups of this entry's zone and of uncovered zones among the given ones, and leaves all others. */
	coverZones(zones: ReadonlySet<AvailabilityZone>): void {
		if (!this.#members.has(this.parts.zone)) {
			this.#join(this.parts.zone);
		}

		for (const zone of zones) {
			void this.#checkCoverage(zone);
		}

		for (const [zone, member] of this.#members) {
			if (zone !== this.parts.zone && !zones.has(zone)) {
				void this.#leave(zone, member);
			}
		}
	}

	/** Renews all memberships now, since released targets may be assigned to this entry. */
	renew(): void {
		for (const member of this.#members.values()) {
			member.renew();
		}
	}

	/** Releases all targets and hands over their runs. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		const members = [...this.#members];
		await Promise.all(members.map(async ([zone, member]) => this.#leave(zone, member)));
	}

	dispose(): void {
		for (const subscription of this.#subscriptions) {
			subscription.dispose();
		}

		this.#handedOver.dispose();
		for (const member of this.#members.values()) {
			member.dispose();
		}
	}

	/**
	 * Joins the group of an unreachable zone if the group has no members of that zone, and leaves it once there are some. A zone
	 * that is only isolated still has members, and joining would take away targets that they can reach.
	 */
	async #checkCoverage(zone: AvailabilityZone): Promise<void> {
		const {store, clock, journal} = this.parts;
		const now = clock.now();
		if (now - (this.#coverageCheckedAt.get(zone) ?? Number.NEGATIVE_INFINITY) < coverageCheckMilliseconds) {
			return;
		}

		this.#coverageCheckedAt.set(zone, now);
		const holders = await store.holders(groupOf(zone));
		const hasOwnMembers = holders === undefined || [...holders].some(holder => holder.startsWith(memberPrefixOf(zone)));
		const member = this.#members.get(zone);
		if (hasOwnMembers === (member === undefined) || this.#isLeaving) {
			return;
		}

		const isReachable = member !== undefined || await this.#canReach(zone);
		if (!isReachable || this.#isLeaving) {
			return;
		}

		journal.record('zoneCovered', {zone, isCovered: !hasOwnMembers, holders: holders?.size});
		if (member === undefined) {
			this.#join(zone);
		} else if (holders !== undefined) {
			await this.#leave(zone, member);
		}
	}

	/**
	 * Whether any target of the zone answers. The entries of a zone that is isolated from the store lose their memberships, but
	 * keep their targets, which no other zone can reach.
	 */
	async #canReach(zone: AvailabilityZone): Promise<boolean> {
		const {catalogue, orders} = this.parts;
		const targets = [...catalogue.targets.values()].filter(target => target.zone === zone).slice(0, maxProbedTargets);
		const answers = await Promise.all(targets.map(async target => {
			const reply = await orders.renew(target, {
				fence: probeToken, acknowledged: 0, leaseUntil: undefined, waitMilliseconds: 0, limitMilliseconds: probeLimitMilliseconds,
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
		void this.#removeFormerMembers(zone, joined);
	}

	/** This process's member name in each group. */
	get #name(): string {
		return `${memberPrefixOf(this.parts.zone)}${this.parts.member}`;
	}

	/** Removes this entry's former processes from the group, and renews if there were any. */
	async #removeFormerMembers(zone: AvailabilityZone, joined: GroupMember): Promise<void> {
		const {store, journal} = this.parts;
		const hadFormerMembers = await removeFormerMembers({group: groupOf(zone), member: this.#name}, store, journal);
		if (hadFormerMembers) {
			joined.renew();
		}
	}

	async #leave(zone: AvailabilityZone, member: GroupMember): Promise<void> {
		this.#members.delete(zone);
		const partitions = member.claim?.partitions ?? new Set<number>();
		// Handovers are sent first, because the next owner may be assigned as soon as the group changes.
		await this.#release(zone, partitions);
		await member.leave();
		this.#handedOver.fire([]);
	}

	async #release(zone: AvailabilityZone, partitions: ReadonlySet<number>): Promise<void> {
		const ids = [...this.parts.catalogue.targets.values()].filter(target => target.zone === zone && partitions.has(this.#partitionOf(target.id)));
		const handovers = await this.parts.executor.release(new Set(ids.map(target => target.id)));
		if (handovers.length > 0) {
			this.#handedOver.fire(handovers);
		}
	}

	#assign(): void {
		const owned = new Map<InstanceId, {readonly target: TargetRecord; readonly fence: FencingToken}>();
		for (const target of this.parts.catalogue.targets.values()) {
			const claim = this.#members.get(target.zone)?.claim;
			if (claim?.partitions.has(this.#partitionOf(target.id))) {
				owned.set(target.id, {target: this.#withEvacuation(target), fence: claim.fence});
			}
		}

		this.parts.executor.assign(owned);
	}

	/** Marks a target of an evacuated zone as draining. */
	#withEvacuation(target: TargetRecord): TargetRecord {
		return this.parts.evacuations.has(target.zone) ? {...target, isDraining: true} : target;
	}

	#partitionOf(target: InstanceId): number {
		return hashText(target) % this.parts.store.partitionCount;
	}
}

function groupOf(zone: AvailabilityZone): OwnershipGroupName {
	return `targets.${zone}` as OwnershipGroupName;
}

/** Member names begin with the entry's zone, which identifies members from other zones. */
function memberPrefixOf(zone: AvailabilityZone): string {
	return `${zone}/`;
}
