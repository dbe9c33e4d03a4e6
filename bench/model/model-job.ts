/** A job of the model's traffic. */
import type {JobClass} from './job-class.js';

/** `runMilliseconds` are the tasks' true run times, which no policy sees. */
export type ModelJob = {
	readonly kind: JobClass;
	readonly at: number;
	readonly runMilliseconds: readonly number[];
};
