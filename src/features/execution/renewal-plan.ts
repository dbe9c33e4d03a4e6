/** What the next renewal of a target's lease asks for. */
import type {LeaseSchedule} from './lease-schedule.js';
import type {RunTable} from './run-table.js';
import type {StrangerRuns} from './stranger-runs.js';

/**
 * How long a target waits for an end before it answers a renewal: a quarter of the lease. A lost renewal hides the target's
 * ends for this and the time limit, and a run that is overdue is known to be so no later than this. With 100 ms two renewals in
 * five ended without telling anything on a target with nine ends a second.
 */
const busyWaitMilliseconds = 250;
/** Without runs there's no lease to renew; the wait stays under the lease of a start that comes meanwhile. */
const idleWaitMilliseconds = 600;
/** So many renewals in a row without an answer, and the target gets no new tasks. */
const unansweredToSuspend = 2;
/** While there are runs that this owner doesn't know, their ends are looked for often. */
const strangerWaitMilliseconds = 50;

/** Knows how the last renewals went, and decides what the next one may renew and how long it may wait. */
export class RenewalPlan {
	/** Whether the target has told what runs there. */
	isLooked = false;
	/** The number of the last end that was processed. */
	acknowledged = 0;
	#unanswered = 0;

	constructor(private readonly lease: LeaseSchedule, private readonly runs: RunTable, private readonly strangers: StrangerRuns) {}

	get isReachable(): boolean {
		return this.#unanswered < unansweredToSuspend;
	}

	/** Counts a renewal without an answer; true when it's the one after which the target counts as silent. */
	miss(): boolean {
		this.#unanswered += 1;
		return this.#unanswered === unansweredToSuspend;
	}

	/** An answer came; returns how many renewals had none before. */
	answer(): number {
		const unanswered = this.#unanswered;
		this.#unanswered = 0;
		return unanswered;
	}

	next(now: number) {
		return {acknowledged: this.acknowledged, leaseUntil: this.#leaseWanted(now), waitMilliseconds: this.#waitWanted()};
	}

	#waitWanted(): number {
		if (!this.isLooked || this.#unanswered > 0) {
			return 0;
		}

		if (this.strangers.areThere) {
			return strangerWaitMilliseconds;
		}

		return this.runs.size > 0 ? busyWaitMilliseconds : idleWaitMilliseconds;
	}

	/** Nothing is renewed while something may run there that nobody asked for, or whose stop isn't confirmed. */
	#leaseWanted(now: number) {
		// A renewal without an answer may have been carried out: with each further one it would be later that the runs have
		// certainly ended, and their jobs would never be told.
		if (!this.isLooked || this.strangers.areThere || !this.isReachable) {
			return undefined;
		}

		const hasOverdueStop = this.#unanswered > 0 && [...this.runs].some(run => run.state === 'stopping' && run.stopConfirmedAtStep === undefined);
		return hasOverdueStop || this.runs.size === 0 ? undefined : this.lease.renewal(now);
	}
}
