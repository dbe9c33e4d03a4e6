/** Correction of the forecast by its errors. */

/** Below 1: the estimate is used cautiously until errors have shown that it is too low. */
const initialScale = 0.8;
const lowestScale = 0.1;
const highestScale = 2;
/** Applied when a refused job could have started in time, the worse error: it outweighs eleven jobs that were held in vain. */
const refutedFactor = 0.8;
const unservedFactor = 1.02;

/** Keeps the factor by which estimates are multiplied, and counts the errors in both directions. */
export class ForecastCalibration {
	#scale = initialScale;
	#refutedRefusals = 0;
	#unservedJobs = 0;

	get scale(): number {
		return this.#scale;
	}

	/** Refused jobs for which there was capacity in time. */
	get refutedRefusals(): number {
		return this.#refutedRefusals;
	}

	/** Jobs that were held and got no capacity in time. */
	get unservedJobs(): number {
		return this.#unservedJobs;
	}

	recordRefutedRefusal(): void {
		this.#refutedRefusals += 1;
		this.#scale = Math.max(lowestScale, this.#scale * refutedFactor);
	}

	/** Records a job that was held in vain. One for which no wait was estimated doesn't show by how much the estimate is wrong. */
	recordUnservedJob(hadEstimate: boolean): void {
		this.#unservedJobs += 1;
		if (hadEstimate) {
			this.#scale = Math.min(highestScale, this.#scale * unservedFactor);
		}
	}
}
