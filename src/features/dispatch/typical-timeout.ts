/** How long the callers of one queue wait, as far as they say. */

/** Of the stated times of fresh submissions this share lies below the usual one. */
const lowShare = 0.05;
/** So many are looked at before anything is said of the queue. */
const firstSamples = 40;
/** How far the usual time moves with one sample, as a share of it. */
const step = 0.01;
/** A submission that states less than this share of the usual time isn't counted among the fresh ones. */
const freshShare = 0.8;
/**
 * Half of the submissions are old for a second or two after all entries were lost. If that goes on for longer, the callers have
 * changed, and what was learned of them is wrong.
 */
const doubtMilliseconds = 5000;
const doubtSamples = 60;

/**
 * A caller states with each submission how long it still waits. One that lost its answer submits again and states what is left:
 * the difference to what callers of its queue usually state is how old its job is. The usual time is a low quantile, since
 * callers of one queue state different times: a job is taken for younger than it is rather than for older.
 */
export class TypicalTimeout {
	#usual: number | undefined;
	#samples: number[] = [];
	#recent: boolean[] = [];
	#doubtedSince: number | undefined;

	/** In milliseconds; nothing while it isn't known. */
	get milliseconds(): number | undefined {
		return this.#usual;
	}

	/** Takes what another entry, or an earlier life of this one, has learned, if nothing is known here. */
	seed(usualMilliseconds: number): void {
		this.#usual ??= usualMilliseconds;
	}

	/** Takes what a submission states. */
	record(milliseconds: number, now: number): void {
		if (this.#usual === undefined) {
			this.#learn(milliseconds);
			return;
		}

		const isFresh = milliseconds >= freshShare * this.#usual;
		if (isFresh) {
			this.#usual += step * this.#usual * (milliseconds < this.#usual ? lowShare - 1 : lowShare);
		}

		this.#doubt(isFresh, now);
	}

	#learn(milliseconds: number): void {
		this.#samples.push(milliseconds);
		if (this.#samples.length >= firstSamples) {
			const sorted = this.#samples.sort((left, right) => left - right);
			this.#usual = sorted[Math.floor(lowShare * firstSamples)];
			this.#samples = [];
		}
	}

	#doubt(isFresh: boolean, now: number): void {
		this.#recent.push(isFresh);
		if (this.#recent.length > doubtSamples) {
			this.#recent.shift();
		}

		const fresh = this.#recent.filter(Boolean).length;
		if (this.#recent.length < doubtSamples || fresh >= doubtSamples / 2) {
			this.#doubtedSince = undefined;
			return;
		}

		this.#doubtedSince ??= now;
		if (now - this.#doubtedSince > doubtMilliseconds) {
			this.#usual = undefined;
			this.#recent = [];
			this.#doubtedSince = undefined;
		}
	}
}
