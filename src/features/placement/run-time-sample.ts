/** Measured run times of one profile. */
import {build, type Histogram} from 'hdr-histogram-js';
import {MeanSample} from './mean-sample.js';

const highestMilliseconds = 600_000;
const significantDigits = 2;
/** A quantile is worked out anew after so many more samples: each walk over the histogram costs as much as many tasks. */
const samplesPerQuantile = 50;

type KnownQuantile = {readonly value: number; readonly samples: number};

/** A histogram beside the running mean, which the histogram itself would work out by walking over all its buckets. */
export class RunTimeSample extends MeanSample {
	readonly #histogram: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: highestMilliseconds, numberOfSignificantValueDigits: significantDigits, bitBucketSize: 32,
	});

	readonly #quantiles = new Map<number, KnownQuantile>();
	override record(milliseconds: number): void {
		super.record(milliseconds);
		this.#histogram.recordValue(Math.min(highestMilliseconds, Math.max(1, Math.round(milliseconds))));
	}

	/** The time in milliseconds that a share of the tasks stays under. */
	quantile(share: number): number {
		const known = this.#quantiles.get(share);
		if (known !== undefined && this.count - known.samples < samplesPerQuantile) {
			return known.value;
		}

		const value = this.#histogram.getValueAtPercentile(Math.min(100, share * 100));
		this.#quantiles.set(share, {value, samples: this.count});
		return value;
	}
}
