/** Learned mean run times. */
import type {ProfileName} from '../../base/profile-name.js';
import {ProfileSamples} from './profile-samples.js';
import {MeanSample} from './mean-sample.js';

/**
 * For an entry that needs no quantiles: the histograms of `RunTimes` take memory just by being loaded, which is dear on
 * small machines.
 */
export class MeanRunTimes {
	readonly #samples = new ProfileSamples(() => new MeanSample());

	record(profile: ProfileName, milliseconds: number): void {
		this.#samples.record(profile, milliseconds);
	}

	/** In milliseconds; the declared time while too few tasks were measured. */
	mean(profile: ProfileName, declaredMilliseconds: number): number {
		return this.#samples.sufficientSample(profile)?.mean ?? declaredMilliseconds;
	}
}
