/** The entries that ask an arbiter for slots, as it hears of them. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';

/** A requester that wasn't heard for so long gets no slot: it may be paused, and others wait. */
const silenceMilliseconds = 1000;
/** Counts that differ because a message is under way agree again by the next renewal. */
const maximumMismatches = 1;

type Requester = {stamp: number; heardAt: number; mismatches: number; wasReportedSilent: boolean};

/** Knows who is awake, the clocks that requests came with, and whose counts stay different. */
export class Requesters {
	readonly #requesters = new Map<MemberId, Requester>();

	constructor(private readonly clock: Clock) {}

	get size(): number {
		return this.#requesters.size;
	}

	has(member: MemberId): boolean {
		return this.#requesters.has(member);
	}

	/** Takes note of a request; returns whether its sender had been set aside as silent. */
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

	/** The latest time that the requester's own clock showed, which its grants bring back. */
	lastStampOf(member: MemberId): number {
		return this.#requesters.get(member)?.stamp ?? 0;
	}

	isActive(member: MemberId): boolean {
		const requester = this.#requesters.get(member);
		return requester !== undefined && !this.#isSilent(requester);
	}

	/** Those that have fallen silent since the last call. */
	takeNewlySilent(): readonly MemberId[] {
		const silent = [...this.#requesters].filter(([, requester]) => !requester.wasReportedSilent && this.#isSilent(requester));
		for (const [, requester] of silent) {
			requester.wasReportedSilent = true;
		}

		return silent.map(([member]) => member);
	}

	/** Takes the comparison of a requester's counts with the arbiter's own; returns whether they stay different. */
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
