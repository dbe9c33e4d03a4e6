/** Jobs that were refused by the forecast. */
import type {BestEffortJob} from './best-effort-job.js';

/** Refused jobs that are observed at a time; further ones are refused without an observation. */
const maximumJobs = 64;

/** `placesTaken` are starts of tasks that rank behind the job and need as much. */
type RefusedJob = {readonly job: BestEffortJob; readonly latestStart: number; readonly weightedStart: number; placesTaken: number};

type StartedTask = {readonly job: BestEffortJob; readonly weightedStart: number};

/**
 * Observes whether a refused job could have started in time after all: until its latest start, tasks that rank behind it may have got
 * the places that it needed, or places may have become free.
 */
export class RefusedJobs {
	readonly #jobs = new Set<RefusedJob>();

	get size(): number {
		return this.#jobs.size;
	}

	add(job: BestEffortJob, weightedStart: number, latestStart: number): void {
		if (this.#jobs.size < maximumJobs) {
			this.#jobs.add({
				job, latestStart, weightedStart, placesTaken: 0,
			});
		}
	}

	/** Records the start of a task; returns the refused jobs that could have started instead of this task and earlier ones. */
	recordStart({job, weightedStart}: StartedTask, now: number): readonly BestEffortJob[] {
		return this.#takeRefuted(now, refused => {
			const isBehind = weightedStart > refused.weightedStart && job.route.service === refused.job.route.service;
			refused.placesTaken += isBehind && refused.job.shape.need.fitsInto(job.shape.need) ? 1 : 0;
			return refused.placesTaken;
		});
	}

	/** Returns the refused jobs that could start now, by the number of free places for a job. */
	recordFreePlaces(freePlaces: (job: BestEffortJob) => number, now: number): readonly BestEffortJob[] {
		return this.#takeRefuted(now, ({job, placesTaken}) => placesTaken + freePlaces(job));
	}

	/** Removes the jobs whose latest start has passed, and those that have got enough places, which are returned. */
	#takeRefuted(now: number, placesOf: (refused: RefusedJob) => number): readonly BestEffortJob[] {
		const refuted: BestEffortJob[] = [];
		for (const refused of this.#jobs) {
			if (refused.latestStart < now) {
				this.#jobs.delete(refused);
			} else if (placesOf(refused) >= refused.job.shape.count) {
				this.#jobs.delete(refused);
				refuted.push(refused.job);
			}
		}

		return refuted;
	}
}
