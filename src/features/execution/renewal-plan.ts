/** What the next renewal of a target's lease asks for. */
import type {RunEnd} from '../targets/run-end.js';
import type {LeaseSchedule} from './lease-schedule.js';
import type {RunTable} from './run-table.js';
import type {UnknownRuns} from './unknown-runs.js';

/**
 * How long a target waits for an end before it answers a renewal. A lost renewal hides the target's ends for this and the
 * time limit, and a run that is overdue is known to be so no later than this; a shorter wait sends renewals that tell nothing.
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
	#acknowledged = 0;
	#unanswered = 0;

	constructor(private readonly lease: LeaseSchedule, private readonly runs: RunTable, private readonly strangers: UnknownRuns) {}

	get isReachable(): boolean {
		return this.#unanswered < unansweredToSuspend;
	}

	/** The number of the last end that was processed, in the life that reports. */
	get acknowledged(): number {
		return this.#acknowledged;
	}

	/** These ends have been processed. */
	processed(ends: readonly RunEnd[]): void {
		this.#acknowledged = Math.max(this.#acknowledged, ...ends.map(({number}) => number));
	}

	/** The target started again, and numbers its ends from 1. */
	restart(): void {
		this.#acknowledged = 0;
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
		return {acknowledged: this.#acknowledgementWanted(), leaseUntil: this.#leaseWanted(now), waitMilliseconds: this.#waitWanted()};
	}

	/**
	 * None before the target has reported, or after a renewal without an answer: the target may have started again. Its next
	 * life would forget ends up to a former life's number that nobody has seen, and their tasks would run a second time. No
	 * target goes down without breaking the renewal that it holds, and an end that isn't acknowledged is just listed again.
	 */
	#acknowledgementWanted(): number {
		return this.isLooked && this.#unanswered === 0 ? this.#acknowledged : 0;
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
