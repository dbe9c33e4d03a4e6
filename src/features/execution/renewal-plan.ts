/** The parameters of the next renewal of a target's lease. */
import type {RunEnd} from '../targets/run-end.js';
import type {LeaseLimit} from './lease-limit.js';
import type {LeaseSchedule} from './lease-schedule.js';
import type {RunTable} from './run-table.js';
import type {UnknownRuns} from './unknown-runs.js';

/**
 * How long a target with runs waits for an end before it answers a renewal. Bounds the delay of an end after a lost renewal,
 * and of the detection of overdue runs; a shorter wait causes renewals that report nothing.
 */
const busyWaitMilliseconds = 250;
/** The same while the requesters' last contacts limit the lease to less than this: their next heartbeats extend it. */
const shortLeaseMilliseconds = 850;
const shortLeaseWaitMilliseconds = 100;
/** The same without runs; shorter than the lease of a run that starts meanwhile. */
const idleWaitMilliseconds = 600;
/** Number of consecutive unanswered renewals after which the target gets no new tasks. */
const unansweredUntilUnreachable = 2;
/** The same while there are unknown runs; short, because nothing can start until they have ended. */
const unknownRunsWaitMilliseconds = 50;

/** Tracks the results of the renewals, and determines the acknowledgement, lease and wait of the next one. */
export class RenewalPlan {
	/** Whether the target has reported since the session began. */
	hasReport = false;
	#acknowledged = 0;
	#unanswered = 0;
	#renewalDueAt = 0;

	constructor(
		private readonly lease: LeaseSchedule,
		private readonly limit: LeaseLimit,
		private readonly runs: RunTable,
		private readonly unknownRuns: UnknownRuns,
	) {}

	get isReachable(): boolean {
		return this.#unanswered < unansweredUntilUnreachable;
	}

	/** The number of the last processed end of the reporting incarnation. */
	get acknowledged(): number {
		return this.#acknowledged;
	}

	/** Marks ends as processed. */
	acknowledge(ends: readonly RunEnd[]): void {
		this.#acknowledged = Math.max(this.#acknowledged, ...ends.map(({number}) => number));
	}

	/** Resets the acknowledgement after a restart of the target, which numbers its ends from 1. */
	restart(): void {
		this.#acknowledged = 0;
	}

	/** Counts an unanswered renewal; returns whether the target becomes unreachable with it. */
	recordMissed(): boolean {
		this.#unanswered += 1;
		return this.#unanswered === unansweredUntilUnreachable;
	}

	/** Resets the count of unanswered renewals, and returns it. */
	recordAnswered(): number {
		const unanswered = this.#unanswered;
		this.#unanswered = 0;
		return unanswered;
	}

	/** When the pending renewal is answered at the latest, so that the next one can be sent; monotonic. */
	get renewalDueAt(): number {
		return this.#renewalDueAt;
	}

	/** Returns the parameters of a renewal that is sent at a monotonic time. */
	next(now: number) {
		const waitMilliseconds = this.#waitToRequest(now);
		this.#renewalDueAt = now + waitMilliseconds;
		return {acknowledged: this.#acknowledgementToSend(), leaseUntil: this.#leaseToRequest(now), waitMilliseconds};
	}

	/**
	 * 0 before the first report and after an unanswered renewal, because the target may have restarted: a former incarnation's
	 * number would make it discard ends that were never processed, and their tasks would run twice. Ends that aren't
	 * acknowledged are listed again.
	 */
	#acknowledgementToSend(): number {
		return this.hasReport && this.#unanswered === 0 ? this.#acknowledged : 0;
	}

	#waitToRequest(now: number): number {
		if (!this.hasReport || this.#unanswered > 0) {
			return 0;
		}

		if (this.unknownRuns.hasAny) {
			return unknownRunsWaitMilliseconds;
		}

		if (this.runs.size === 0) {
			return idleWaitMilliseconds;
		}

		return this.limit.at - now < shortLeaseMilliseconds ? shortLeaseWaitMilliseconds : busyWaitMilliseconds;
	}

	/** Undefined, to renew nothing, while there may be unknown runs or, after an unanswered renewal, runs whose stop isn't confirmed. */
	#leaseToRequest(now: number) {
		// An unanswered renewal may have been executed: renewing an unreachable target would postpone the end of the lease,
		// and with it the outcomes of the runs, indefinitely.
		if (!this.hasReport || this.unknownRuns.hasAny || !this.isReachable) {
			return undefined;
		}

		const hasOverdueStop = this.#unanswered > 0 && [...this.runs].some(run => run.state === 'stopping' && run.stopConfirmedAtStep === undefined);
		return hasOverdueStop || this.runs.size === 0 ? undefined : this.lease.renewUntil(now, this.limit);
	}
}
