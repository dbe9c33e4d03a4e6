/** The limit on the lease of a target's runs. */
import type {MemberId} from '../../base/member-id.js';
import type {RunTable} from './run-table.js';

/**
 * How long a run may go on after the last sign that its requester wants it. Callers resubmit a job 1300 ms after they lost its
 * entry or got no answer; the run has to be over by then, also on a target whose clock is 2% slow.
 */
const orphanLimitMilliseconds = 1100;
/** A target with less time left gets no new tasks, since they might end before their lease is renewed. */
const leastMillisecondsToStart = 300;

/**
 * Bounds the lease by what is known of the requesters. The target enforces it, so that a run ends in time although its owner is
 * slow, paused or partitioned, or its stop gets no answer.
 */
export class LeaseLimit {
	/** `lastContact` returns the monotonic time at which a requester was last known to be alive. */
	constructor(private readonly runs: RunTable, private readonly lastContact: (requester: MemberId) => number) {}

	/** The monotonic time beyond which the lease must not be renewed; infinite without runs. */
	get at(): number {
		let earliest = Number.POSITIVE_INFINITY;
		for (const {abandonedAt, requester} of this.runs) {
			earliest = Math.min(earliest, abandonedAt ?? this.lastContact(requester));
		}

		return earliest + orphanLimitMilliseconds;
	}

	/** Whether a run that is started now gets a lease that is long enough for its renewal, beside the other runs. */
	allowsStart(now: number): boolean {
		return this.at - now >= leastMillisecondsToStart;
	}

	/** Whether a requester was alive recently enough to start a run for it. */
	allowsStartFor(requester: MemberId, now: number): boolean {
		return this.lastContact(requester) + orphanLimitMilliseconds - now >= leastMillisecondsToStart;
	}
}
