/** Which reports of a target are news. */
import type {Incarnation} from '../../base/incarnation.js';
import type {TargetTime} from '../../base/target-time.js';

/** What tells reports apart. */
type Report = {readonly incarnation: Incarnation | undefined; readonly clock: TargetTime};

/**
 * - `newest`: it tells what runs there now.
 * - `overtaken`: a later one of the same life came before; only its ends are news.
 * - `restarted`: the first one of another life, which holds nothing of before and counts and numbers anew.
 * - `former`: a late word of a life that is over; only its ends are news.
 */
type ReportAge = 'newest' | 'overtaken' | 'restarted' | 'former';

/**
 * Reports of one life are ordered by its clock. A target that starts again under its id has another clock: ordered by that,
 * all reports of its next life look old for as long as the former one lasted, and runs that went down with it are never known
 * to be gone. So lives are compared first, and ordered by when their reports were asked for: no former life answers what was
 * asked after the next one did.
 */
export class ReportOrder {
	#incarnation: Incarnation | undefined;
	#clock = Number.NEGATIVE_INFINITY;
	/** The step of its session at which the latest report that counted was asked for; 0 before there was one. */
	#askedAtStep = 0;

	/** The life that reported last. */
	get incarnation(): Incarnation | undefined {
		return this.#incarnation;
	}

	/** Takes a report that was asked for at a step of its session, which are counted from 1. */
	take({incarnation, clock}: Report, askedAtStep: number): ReportAge {
		const isSameLife = this.#askedAtStep === 0 || incarnation === this.#incarnation;
		if (isSameLife && clock < this.#clock) {
			return 'overtaken';
		}

		if (!isSameLife && askedAtStep < this.#askedAtStep) {
			return 'former';
		}

		this.#incarnation = incarnation;
		this.#clock = clock;
		this.#askedAtStep = Math.max(askedAtStep, this.#askedAtStep);
		return isSameLife ? 'newest' : 'restarted';
	}
}
