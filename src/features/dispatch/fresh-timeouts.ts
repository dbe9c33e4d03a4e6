/** Separation of first submissions from resubmissions by their timeouts. */
import {quantileOf} from './quantile-of.js';
import {resubmissionDelayMilliseconds} from './resubmission-delay.js';

/** Smaller gaps, and those of fewer mean distances, occur between the timeouts of first submissions. */
const leastGapMilliseconds = 200;
const leastGapDistances = 12;
/** Differences between the callers' delays before they submit again. */
const toleranceMilliseconds = 100;
/** The part of the timeouts below a gap that has to be explained by resubmissions. */
const explainedShare = 0.8;
/** Excludes a few callers with longer timeouts from the range of the usual ones. */
const upperQuantile = 0.9;

/**
 * Returns the timeouts of first submissions, of sorted timeouts in milliseconds. Callers state their remaining time, so that the
 * timeouts of resubmissions are lower by multiples of the resubmission delay. All timeouts are returned if the lower ones can't be told
 * from first submissions with short timeouts, or are the majority.
 */
export function freshTimeouts(sorted: readonly number[]): readonly number[] {
	let fresh = sorted;
	let widestGap = leastGapMilliseconds;
	for (let index = 1; index <= sorted.length / 2; index += 1) {
		const gap = sorted[index]! - sorted[index - 1]!;
		if (gap < widestGap) {
			continue;
		}

		const upper = sorted.slice(index);
		if (gap >= leastGapDistances * meanDistanceOf(upper) && areResubmissions(sorted.slice(0, index), upper)) {
			widestGap = gap;
			fresh = upper;
		}
	}

	return fresh;
}

function meanDistanceOf(sorted: readonly number[]): number {
	return (quantileOf(sorted, upperQuantile) - sorted[0]!) / (upperQuantile * sorted.length);
}

function areResubmissions(lower: readonly number[], upper: readonly number[]): boolean {
	const first = upper[0]! - toleranceMilliseconds;
	const last = quantileOf(upper, upperQuantile) + toleranceMilliseconds;
	// Each timeout is a multiple of the delay below a range that is this wide.
	if (last - first >= resubmissionDelayMilliseconds) {
		return false;
	}

	const explained = lower.filter(timeout => {
		const submissions = Math.ceil((first - timeout) / resubmissionDelayMilliseconds);
		return timeout + (submissions * resubmissionDelayMilliseconds) <= last;
	});
	return explained.length >= explainedShare * lower.length;
}
