/** What became of a job in the model. */
import type {ModelJob} from './model-job.js';

/** A refused job has not begun; one that was given up had begun some of its tasks. */
export type ModelOutcome = {
	readonly job: ModelJob;
	readonly kind: 'answered' | 'refused' | 'givenUp';
	readonly tookMilliseconds: number;
	readonly objectiveMilliseconds: number;
};
