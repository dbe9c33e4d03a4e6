/** Quantiles of samples. */

/** Returns a quantile from 0 to 1 of a non-empty sorted list. */
export function quantileOf(sorted: readonly number[], quantile: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))]!;
}
