/** Entries that request slots from an arbiter. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';

/** A requester without messages for this long is granted no slots, since it may be paused. */
const silenceMilliseconds = 1000;
/** Consecutive count mismatches tolerated, since a message may be in flight. */
const maximumMismatches = 1;

type Requester = {stamp: number; heardAt: number; mismatches: number; wasReportedSilent: boolean};

/** Tracks the liveness, the latest clock stamp and the count mismatches of each requester. */
export class Requesters {
	readonly #requesters = new Map<MemberId, Requester>();

	constructor(private readonly clock: Clock) {}

	get size(): number {
		return this.#requesters.size;
	}

	has(member: MemberId): boolean {
		return this.#requesters.has(member);
	}

	/** Records a request; returns whether its sender had been reported as silent. */
	recordRequest(member: MemberId, stamp: number): boolean {
		const requester = this.#requesters.get(member) ?? {
			stamp, heardAt: 0, mismatches: 0, wasReportedSilent: false,
		};
		this.#requesters.set(member, requester);
		const {wasReportedSilent} = requester;
		requester.stamp = Math.max(requester.stamp, stamp);
		requester.heardAt = this.clock.now();
		requester.wasReportedSilent = false;
		return wasReportedSilent;
	}

	/** Latest stamp of the requester's clock, which its grants echo. */
	lastStampOf(member: MemberId): number {
		return this.#requesters.get(member)?.stamp ?? 0;
	}

	isActive(member: MemberId): boolean {
		const requester = this.#requesters.get(member);
		return requester !== undefined && !this.#isSilent(requester);
	}

	/** Requesters that have become silent since the last call. */
	takeNewlySilent(): readonly MemberId[] {
		const silent = [...this.#requesters].filter(([, requester]) => !requester.wasReportedSilent && this.#isSilent(requester));
		for (const [, requester] of silent) {
			requester.wasReportedSilent = true;
		}

		return silent.map(([member]) => member);
	}

	/** Records whether the requester's counts equal the arbiter's; returns whether a mismatch persists. */
	recordComparison(member: MemberId, isEqual: boolean): boolean {
		const requester = this.#requesters.get(member)!;
		requester.mismatches = isEqual ? 0 : requester.mismatches + 1;
		if (requester.mismatches <= maximumMismatches) {
			return false;
		}

		requester.mismatches = 0;
		return true;
	}

	remove(member: MemberId): void {
		this.#requesters.delete(member);
	}

	#isSilent({heardAt}: Requester): boolean {
		return this.clock.now() - heardAt >= silenceMilliseconds;
	}
}
