/** Speed of targets, estimated from logs. */

const smoothingFactor = 0.2;
/** Targets whose run times exceed the expected ones by this factor on average are slow. */
const slowThreshold = 1.5;

/** Keeps an exponential moving average of actual to expected run time for each target. */
export class TargetSpeeds {
	readonly #ratios = new Map<string, number>();

	record(target: string, ranMilliseconds: number, expectedMilliseconds: number): void {
		const ratio = this.#ratios.get(target) ?? 1;
		this.#ratios.set(target, ratio + (smoothingFactor * ((ranMilliseconds / Math.max(1, expectedMilliseconds)) - ratio)));
	}

	isSlow(target: string | undefined): boolean {
		return target !== undefined && (this.#ratios.get(target) ?? 1) > slowThreshold;
	}
}
