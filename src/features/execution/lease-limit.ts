/** The limit on the lease of a target's runs. */
import type {MemberId} from '../../base/member-id.js';
import type {Run} from './run.js';
import type {RunTable} from './run-table.js';

/**
 * How long a run may go on after the last sign that its requester wants it. Callers resubmit a job 1300 ms after they lost its
 * entry or got no answer; the run has to be over by then, also on a target whose clock is 2% slow.
 */
const orphanLimitMilliseconds = 1200;
/** A lease that is limited to less gets no new tasks. */
const leastMillisecondsToStart = 300;
/** Time for a renewal from when its target answers the pending one. */
const renewalMarginMilliseconds = 150;

/**
 * Bounds the lease by what is known of the requesters. The target enforces it, so that a run ends in time although its owner is
 * slow, paused or partitioned, or its stop gets no answer.
 */
export class LeaseLimit {
	/** Both functions return monotonic times: when a requester was last known to be alive, and the same by the handovers of its runs. */
	constructor(
		private readonly runs: RunTable,
		private readonly lastContact: (requester: MemberId) => number,
		private readonly contactAtHandover: (requester: MemberId) => number,
	) {}

	/** The monotonic time beyond which the lease must not be renewed; infinite without runs. */
	get at(): number {
		return this.contactAt + orphanLimitMilliseconds;
	}

	/** The earliest contact of a requester, from which the limit counts; infinite without runs. */
	get contactAt(): number {
		let earliest = Number.POSITIVE_INFINITY;
		for (const run of this.runs) {
			earliest = Math.min(earliest, this.contactOf(run));
		}

		return earliest;
	}

	/**
	 * When the requester of a run last was known to want it. A requester that doesn't know the new owner sends stops to the former one,
	 * so that its messages say nothing of the run.
	 */
	contactOf({abandonedAt, isAcknowledged, requester}: Run): number {
		return abandonedAt ?? (isAcknowledged ? this.lastContact(requester) : this.contactAtHandover(requester));
	}

	/** Whether a run that is started now goes on until the renewal that is due at a monotonic time, beside the other runs. */
	allowsStart(now: number, renewalDueAt: number): boolean {
		return this.at >= earliestLimit(now, renewalDueAt);
	}

	/** The same as far as the requester's last contact decides it. */
	allowsStartFor(requester: MemberId, now: number, renewalDueAt: number): boolean {
		return this.lastContact(requester) + orphanLimitMilliseconds >= earliestLimit(now, renewalDueAt);
	}
}

function earliestLimit(now: number, renewalDueAt: number): number {
	return Math.max(now + leastMillisecondsToStart, renewalDueAt + renewalMarginMilliseconds);
}
