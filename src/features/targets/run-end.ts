/** A run's end as a target lists it. */
import type {TaskId} from '../../base/task-id.js';

/** `number` counts a life's ends from 1. `lapsed`: the lease passed and the run was killed. */
export type RunEnd = {
	readonly number: number;
	readonly task: TaskId;
	readonly attempt: number;
	readonly how: 'done' | 'failed' | 'stopped' | 'lapsed' | 'other';
};
