/** Measured run times of one profile. */
import {build, type Histogram} from 'hdr-histogram-js';
import {MeanSample} from './mean-sample.js';

const maximumMilliseconds = 600_000;
const significantDigits = 2;
/** A quantile is worked out anew after so many more samples: each walk over the histogram costs as much as many tasks. */
const samplesPerRecalculation = 50;

type CachedQuantile = {readonly value: number; readonly samples: number};

/** A histogram beside the running mean, which the histogram itself would work out by walking over all its buckets. */
export class RunTimeSample extends MeanSample {
	readonly #histogram: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: maximumMilliseconds, numberOfSignificantValueDigits: significantDigits, bitBucketSize: 32,
	});

	readonly #quantiles = new Map<number, CachedQuantile>();
	override record(milliseconds: number): void {
		super.record(milliseconds);
		this.#histogram.recordValue(Math.min(maximumMilliseconds, Math.max(1, Math.round(milliseconds))));
	}

	/** The time in milliseconds that a share of the tasks stays under. */
	quantile(share: number): number {
		const cached = this.#quantiles.get(share);
		if (cached !== undefined && this.count - cached.samples < samplesPerRecalculation) {
			return cached.value;
		}

		const value = this.#histogram.getValueAtPercentile(Math.min(100, share * 100));
		this.#quantiles.set(share, {value, samples: this.count});
		return value;
	}
}
