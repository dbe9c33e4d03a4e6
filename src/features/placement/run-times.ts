/** Run time statistics by profile. */
import type {ProfileName} from '../../base/profile-name.js';
import {ProfileSamples} from './profile-samples.js';
import {RunTimeSample} from './run-time-sample.js';

/** Used if the run time was neither measured nor declared. */
const defaultMilliseconds = 250;

/** Uses declared run times until enough tasks have been measured. */
export class RunTimes {
	readonly #samples = new ProfileSamples(() => new RunTimeSample());

	record(profile: ProfileName, milliseconds: number): void {
		this.#samples.record(profile, milliseconds);
	}

	/** The mean in milliseconds. */
	mean(profile: ProfileName, declaredMilliseconds?: number): number {
		return this.#samples.sufficientSample(profile)?.mean ?? declaredMilliseconds ?? defaultMilliseconds;
	}

	/** Run time in milliseconds that the given share of tasks doesn't exceed. */
	quantile(profile: ProfileName, share: number, declaredMilliseconds?: number): number {
		return this.#samples.sufficientSample(profile)?.quantile(share) ?? declaredMilliseconds ?? defaultMilliseconds;
	}
}
