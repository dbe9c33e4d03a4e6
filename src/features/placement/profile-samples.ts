/** Samples of measured run times, which follow changes. */
import type {ProfileName} from '../../base/profile-name.js';
import type {MeanSample} from './mean-sample.js';

/** A sample that is this full becomes the older one of two, so that old behaviour is forgotten. */
const tasksPerSample = 2000;
/** Below so many tasks the declared time counts. */
const trustedTasks = 10;

/** Two samples that take turns. */
type Learned<Sample> = {current: Sample; previous: Sample | undefined};

/** A sample for each profile, once there are enough tasks to go by. */
export class ProfileSamples<Sample extends MeanSample> {
	readonly #learned = new Map<ProfileName, Learned<Sample>>();

	constructor(private readonly create: () => Sample) {}

	record(profile: ProfileName, milliseconds: number): void {
		const learned = this.#learned.get(profile) ?? {current: this.create(), previous: undefined};
		this.#learned.set(profile, learned);
		learned.current.record(milliseconds);
		if (learned.current.count >= tasksPerSample) {
			learned.previous = learned.current;
			learned.current = this.create();
		}
	}

	trusted(profile: ProfileName): Sample | undefined {
		const learned = this.#learned.get(profile);
		if (learned === undefined) {
			return undefined;
		}

		if (learned.previous !== undefined && learned.current.count < tasksPerSample / 2) {
			return learned.previous;
		}

		return learned.current.count >= trustedTasks ? learned.current : undefined;
	}
}
