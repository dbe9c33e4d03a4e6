/** Run time distribution of one profile. */
import {build, type Histogram} from 'hdr-histogram-js';
import {MeanSample} from './mean-sample.js';

const maximumMilliseconds = 600_000;
const significantDigits = 2;
/** Number of new samples after which a cached quantile is recalculated; the calculation scans the histogram. */
const samplesPerRecalculation = 50;

type CachedQuantile = {readonly value: number; readonly samples: number};

/** Histogram with a running mean, since the mean of the histogram itself requires a scan of all buckets. */
export class RunTimeSample extends MeanSample {
	readonly #histogram: Histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: maximumMilliseconds, numberOfSignificantValueDigits: significantDigits, bitBucketSize: 32,
	});

	readonly #quantiles = new Map<number, CachedQuantile>();
	override record(milliseconds: number): void {
		super.record(milliseconds);
		this.#histogram.recordValue(Math.min(maximumMilliseconds, Math.max(1, Math.round(milliseconds))));
	}

	/** Run time in milliseconds that the given share of tasks doesn't exceed. */
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
