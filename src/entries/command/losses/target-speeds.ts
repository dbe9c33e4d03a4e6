/** How fast targets work, as logs show it. */

const smoothing = 0.2;
/** A target whose runs take so many times what is expected works slowly; the spread of run times alone stays below. */
const slowPace = 1.5;

/** A moving mean for each target of what its runs took against what was expected of them. */
export class TargetSpeeds {
	readonly #paces = new Map<string, number>();

	record(target: string, ranMilliseconds: number, expectedMilliseconds: number): void {
		const known = this.#paces.get(target) ?? 1;
		this.#paces.set(target, known + (smoothing * ((ranMilliseconds / Math.max(1, expectedMilliseconds)) - known)));
	}

	isSlow(target: string | undefined): boolean {
		return target !== undefined && (this.#paces.get(target) ?? 1) > slowPace;
	}
}
