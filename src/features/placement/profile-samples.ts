/** Samples of measured run times, which follow changes. */
import type {ProfileName} from '../../base/profile-name.js';
import type {MeanSample} from './mean-sample.js';

/** A sample that is this full becomes the older one of two, so that old behaviour is forgotten. */
const maximumTasksPerSample = 2000;
/** Below so many tasks the declared time counts. */
const minimumTasks = 10;

/** Two samples that take turns. */
type SamplePair<Sample> = {current: Sample; previous: Sample | undefined};

/** A sample for each profile, once there are enough tasks to go by. */
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
