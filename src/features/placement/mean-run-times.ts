/** Mean run times by profile. */
import type {ProfileName} from '../../base/profile-name.js';
import {ProfileSamples} from './profile-samples.js';
import {MeanSample} from './mean-sample.js';

/** Alternative to `RunTimes` without quantiles, which avoids the memory cost of loading the histogram library. */
export class MeanRunTimes {
	readonly #samples = new ProfileSamples(() => new MeanSample());

	record(profile: ProfileName, milliseconds: number): void {
		this.#samples.record(profile, milliseconds);
	}

	/** The time that a task of a new job is expected to take, in milliseconds. */
	expected(profile: ProfileName, declaredMilliseconds: number): number {
		return Math.max(this.mean(profile, declaredMilliseconds), declaredMilliseconds);
	}

	/** In milliseconds; the declared time until enough tasks have been measured. */
	mean(profile: ProfileName, declaredMilliseconds: number): number {
		return this.#samples.sufficientSample(profile)?.mean ?? declaredMilliseconds;
	}
}
