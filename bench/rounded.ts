/** Rounding for printed figures. */

/** To three decimals. */
export function rounded(value: number): number {
	return Math.round(value * 1000) / 1000;
}
