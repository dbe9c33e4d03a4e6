/** Order statistics. */

/** The value that a share of the values is at or below; 0 for no values. */
export function quantile(values: readonly number[], share: number): number {
	const sorted = [...values].sort((left, right) => left - right);
	const index = Math.min(sorted.length - 1, Math.max(0, Math.ceil(share * sorted.length) - 1));
	return sorted[index] ?? 0;
}
