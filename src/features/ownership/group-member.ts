/** This entry's membership in one ownership group. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {OwnershipGroupName} from '../../base/ownership-group-name.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Claim} from './claim.js';
import type {PartitionGrant} from './partition-grant.js';
import type {PartitionGroup} from './partition-group.js';

/** How often the membership is renewed; a fifth of its time to live, so that four renewals may be lost. */
const renewalMilliseconds = 300;
/**
 * While the group is being dealt, each partition moves at its holder's next renewal, and its targets have no owner until
 * then: jobs wait for the slowest. A renewal costs the store less than a call.
 */
const settlingMilliseconds = 60;
/** So long after a change, or after the start, the group counts as being dealt. */
const settlingTimeMilliseconds = 1500;

type GroupMemberParts = {
	readonly group: OwnershipGroupName;
	readonly member: string;
	readonly store: PartitionGroup;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly listener: GroupMemberListener;
};

/** What a member tells its owner. */
type GroupMemberListener = {
	readonly onDidChangeClaim: () => void;
	/** The group has given away partitions: what runs on their targets has to be handed over before this returns. */
	readonly onWillRelease: (lost: ReadonlySet<number>) => Promise<void>;
};

/**
 * Joins a group over and over. While the store gives no answer the last claim stays: a target that has met a newer owner
 * rejects this entry's token, and nobody else can take over a target unless the store answered it.
 */
export class GroupMember implements Disposable {
	#claim: Claim | undefined;
	#generation = 0;
	#isAway = false;
	#isDisposed = false;
	#timer: Disposable | undefined;
	#isJoining = false;
	#isWanted = false;
	#changedAt: number;

	constructor(private readonly parts: GroupMemberParts) {
		this.#changedAt = parts.clock.now();
	}

	get claim(): Claim | undefined {
		return this.#claim;
	}

	/** Joins now, and goes on renewing. */
	renew(): void {
		this.#timer?.dispose();
		if (this.#isDisposed) {
			return;
		}

		if (this.#isJoining) {
			this.#isWanted = true;
			return;
		}

		void this.#renewOnce();
	}

	/** Gives up all partitions at once. */
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
			await this.#take(grant);
		}

		this.#isJoining = false;
		const delay = this.#isWanted ? 0 : this.#period;
		this.#isWanted = false;
		if (!this.#isDisposed) {
			this.#timer = this.parts.clock.schedule(delay, () => {
				this.renew();
			});
		}
	}

	get #period(): number {
		const isSettling = !this.#isAway && this.parts.clock.now() - this.#changedAt < settlingTimeMilliseconds;
		return isSettling ? settlingMilliseconds : renewalMilliseconds;
	}

	async #take(grant: PartitionGrant | undefined): Promise<void> {
		this.#noteAway(grant === undefined);
		if (grant === undefined) {
			return;
		}

		const lost = new Set([...this.#claim?.partitions ?? []].filter(partition => !grant.partitions.has(partition)));
		// A partition that another member gave up comes without a new generation.
		const isChanged = grant.generation !== this.#generation || lost.size > 0 || grant.partitions.size !== this.#claim?.partitions.size;
		if (lost.size > 0) {
			// The next owner gets these only after the next join: until then their tasks can be handed over.
			await this.parts.listener.onWillRelease(lost);
			this.#isWanted = true;
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

	#noteAway(isAway: boolean): void {
		if (isAway !== this.#isAway) {
			this.#isAway = isAway;
			this.parts.journal.record(isAway ? 'groupAway' : 'groupBack', {group: this.parts.group, generation: this.#generation});
		}
	}
}
