/** Run time samples by profile. */
import type {ProfileName} from '../../base/profile-name.js';
import type {MeanSample} from './mean-sample.js';

/** A sample that reaches this size is replaced, so that outdated measurements expire. */
const maximumTasksPerSample = 2000;
/** Minimum number of tasks for a sample to be used in place of the declared time. */
const minimumTasks = 10;

/** The sample being filled, and the last complete one. */
type SamplePair<Sample> = {current: Sample; previous: Sample | undefined};

/** Keeps a current and a previous sample for each profile. */
export class ProfileSamples<Sample extends MeanSample> {
	readonly #pairs = new Map<ProfileName, SamplePair<Sample>>();

	constructor(private readonly create: () => Sample) {}

	record(profile: ProfileName, milliseconds: number): void {
		const pair = this.#pairs.get(profile) ?? {current: this.create(), previous: undefined};
		this.#pairs.set(profile, pair);
		pair.current.record(milliseconds);
		if (pair.current.count >= maximumTasksPerSample) {
			pair.previous = pair.current;
			pair.current = this.create();
		}
	}

	sufficientSample(profile: ProfileName): Sample | undefined {
		const pair = this.#pairs.get(profile);
		if (pair === undefined) {
			return undefined;
		}

		if (pair.previous !== undefined && pair.current.count < maximumTasksPerSample / 2) {
			return pair.previous;
		}

		return pair.current.count >= minimumTasks ? pair.current : undefined;
	}
}
