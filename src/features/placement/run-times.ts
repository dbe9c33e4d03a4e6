/** Learned run times. */
import type {ProfileName} from '../../base/profile-name.js';
import {RunTimeSample} from './run-time-sample.js';

/** A sample that is this full becomes the older one of two, so that old behaviour is forgotten. */
const tasksPerSample = 2000;
/** Below so many tasks the declared time counts. */
const trustedTasks = 10;
/** For a task that nobody said or learned anything of. */
const unknownMilliseconds = 250;

/** Two samples that take turns. */
type Learned = {current: RunTimeSample; previous: RunTimeSample | undefined};

/** Run times by profile; declared ones serve only until there are enough measured ones. */
export class RunTimes {
	readonly #learned = new Map<ProfileName, Learned>();

	record(profile: ProfileName, milliseconds: number): void {
		const learned = this.#learned.get(profile) ?? {current: new RunTimeSample(), previous: undefined};
		this.#learned.set(profile, learned);
		learned.current.record(milliseconds);
		if (learned.current.count >= tasksPerSample) {
			learned.previous = learned.current;
			learned.current = new RunTimeSample();
		}
	}

	/** The mean in milliseconds. */
	mean(profile: ProfileName, declaredMilliseconds?: number): number {
		return this.#trusted(profile)?.mean ?? declaredMilliseconds ?? unknownMilliseconds;
	}

	/** The time in milliseconds that a share of the tasks stays under. */
	quantile(profile: ProfileName, share: number, declaredMilliseconds?: number): number {
		return this.#trusted(profile)?.quantile(share) ?? declaredMilliseconds ?? unknownMilliseconds;
	}

	#trusted(profile: ProfileName): RunTimeSample | undefined {
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
