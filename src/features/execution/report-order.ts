/** The order of the reports of a target. */
import type {Incarnation} from '../../base/incarnation.js';
import type {TargetTime} from '../../base/target-time.js';

/** The fields that order reports. */
type Report = {readonly incarnation: Incarnation | undefined; readonly clock: TargetTime};

/**
 * - `newest`: lists the current runs.
 * - `overtaken`: a later report of the same incarnation arrived before; only the ended runs are used.
 * - `restarted`: the first report of a new incarnation, which has no earlier runs and restarts its clock and numbering.
 * - `former`: a late report of an earlier incarnation; only the ended runs are used.
 */
type ReportAge = 'newest' | 'overtaken' | 'restarted' | 'former';

/**
 * Orders reports of one incarnation by the target's clock, and incarnations by when their reports were requested, because a
 * restart resets the clock. A former incarnation can't answer a request that was sent after the next one had answered.
 */
export class ReportOrder {
	#incarnation: Incarnation | undefined;
	#clock = Number.NEGATIVE_INFINITY;
	/** The session's step at which the latest accepted report was requested; 0 before the first one. */
	#requestedAtStep = 0;

	/** The incarnation that reported last. */
	get incarnation(): Incarnation | undefined {
		return this.#incarnation;
	}

	/** Classifies a report that was requested at a step of its session; steps count from 1. */
	classify({incarnation, clock}: Report, requestedAtStep: number): ReportAge {
		const isSameIncarnation = this.#requestedAtStep === 0 || incarnation === this.#incarnation;
		if (isSameIncarnation && clock < this.#clock) {
			return 'overtaken';
		}

		if (!isSameIncarnation && requestedAtStep < this.#requestedAtStep) {
			return 'former';
		}

		this.#incarnation = incarnation;
		this.#clock = clock;
		this.#requestedAtStep = Math.max(requestedAtStep, this.#requestedAtStep);
		return isSameIncarnation ? 'newest' : 'restarted';
	}
}
