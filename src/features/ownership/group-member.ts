/** This entry's membership in an ownership group. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {OwnershipGroupName} from '../../base/ownership-group-name.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Claim} from './claim.js';
import type {PartitionGrant} from './partition-grant.js';
import type {PartitionGroup} from './partition-group.js';

/** Renewal interval; a fifth of the membership's time to live, so that four consecutive renewals may fail. */
const renewalMilliseconds = 300;
/**
 * Renewal interval during a rebalance. Partitions move when their former holders renew; until then their targets have no owner, and
 * jobs wait for the slowest holder. A renewal costs the store less than another call.
 */
const rebalanceRenewalMilliseconds = 60;
/** Duration of a rebalance after a change or the start. */
const rebalanceMilliseconds = 1500;

type GroupMemberParts = {
	readonly group: OwnershipGroupName;
	readonly member: string;
	readonly store: PartitionGroup;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly listener: GroupMemberListener;
};

/** Events of a membership. */
type GroupMemberListener = {
	readonly onDidChangeClaim: () => void;
	/** Partitions were lost; the runs on their targets must be handed over before this settles. */
	readonly onWillRelease: (lost: ReadonlySet<number>) => Promise<void>;
};

/**
 * Joins a group and keeps renewing the membership. Keeps the last claim while the store is unavailable, which is safe because
 * a target that has a newer owner rejects this entry's token.
 */
export class GroupMember implements Disposable {
	#claim: Claim | undefined;
	#generation = 0;
	#isStoreUnavailable = false;
	#isDisposed = false;
	#timer: Disposable | undefined;
	#isJoining = false;
	#isRenewalRequested = false;
	#changedAt: number;

	constructor(private readonly parts: GroupMemberParts) {
		this.#changedAt = parts.clock.now();
	}

	get claim(): Claim | undefined {
		return this.#claim;
	}

	/** Renews the membership now, and periodically from then on. */
	renew(): void {
		this.#timer?.dispose();
		if (this.#isDisposed) {
			return;
		}

		if (this.#isJoining) {
			this.#isRenewalRequested = true;
			return;
		}

		void this.#renewOnce();
	}

	/** Leaves the group and gives up all partitions. */
	async leave(): Promise<void> {
		const {store, group, member} = this.parts;
		this.dispose();
		await store.leave(group, member);
		this.#claim = undefined;
		this.parts.journal.record('groupLeft', {group: this.parts.group, generation: this.#generation});
	}

	dispose(): void {
		this.#isDisposed = true;
		this.#timer?.dispose();
	}

	async #renewOnce(): Promise<void> {
		const {store, group, member} = this.parts;
		this.#isJoining = true;
		const grant = await store.join(group, member, this.#generation);
		if (!this.#isDisposed) {
			await this.#applyGrant(grant);
		}

		this.#isJoining = false;
		const delay = this.#isRenewalRequested ? 0 : this.#renewalPeriod;
		this.#isRenewalRequested = false;
		if (!this.#isDisposed) {
			this.#timer = this.parts.clock.schedule(delay, () => {
				this.renew();
			});
		}
	}

	get #renewalPeriod(): number {
		const isRebalancing = !this.#isStoreUnavailable && this.parts.clock.now() - this.#changedAt < rebalanceMilliseconds;
		return isRebalancing ? rebalanceRenewalMilliseconds : renewalMilliseconds;
	}

	async #applyGrant(grant: PartitionGrant | undefined): Promise<void> {
		this.#recordStoreAvailability(grant === undefined);
		if (grant === undefined) {
			return;
		}

		const lost = new Set([...this.#claim?.partitions ?? []].filter(partition => !grant.partitions.has(partition)));
		// A partition that another member gave up is assigned without a new generation.
		const isChanged = grant.generation !== this.#generation || lost.size > 0 || grant.partitions.size !== this.#claim?.partitions.size;
		if (lost.size > 0) {
			// The next owner gets these only after the next join, so that their runs can be handed over first.
			await this.parts.listener.onWillRelease(lost);
			this.#isRenewalRequested = true;
		}

		this.#generation = grant.generation;
		this.#claim = {fence: grant.generation as FencingToken, partitions: grant.partitions};
		if (isChanged) {
			this.#changedAt = this.parts.clock.now();
			this.parts.journal.record('claimChanged', {
				group: this.parts.group, generation: grant.generation, partitions: grant.partitions.size, lost: lost.size,
			});
			this.parts.listener.onDidChangeClaim();
		}
	}

	#recordStoreAvailability(isUnavailable: boolean): void {
		if (isUnavailable !== this.#isStoreUnavailable) {
			this.#isStoreUnavailable = isUnavailable;
			this.parts.journal.record(isUnavailable ? 'groupAway' : 'groupBack', {group: this.parts.group, generation: this.#generation});
		}
	}
}
