/** Learned run times. */
import type {ProfileName} from '../../base/profile-name.js';
import {ProfileSamples} from './profile-samples.js';
import {RunTimeSample} from './run-time-sample.js';

/** For a task that nobody said or learned anything of. */
const defaultMilliseconds = 250;

/** Run times by profile; declared ones serve only until there are enough measured ones. */
export class RunTimes {
	readonly #samples = new ProfileSamples(() => new RunTimeSample());

	record(profile: ProfileName, milliseconds: number): void {
		this.#samples.record(profile, milliseconds);
	}

	/** The mean in milliseconds. */
	mean(profile: ProfileName, declaredMilliseconds?: number): number {
		return this.#samples.sufficientSample(profile)?.mean ?? declaredMilliseconds ?? defaultMilliseconds;
	}

	/** The time in milliseconds that a share of the tasks stays under. */
	quantile(profile: ProfileName, share: number, declaredMilliseconds?: number): number {
		return this.#samples.sufficientSample(profile)?.quantile(share) ?? declaredMilliseconds ?? defaultMilliseconds;
	}
}
