/** The end of a run in a target's report. */
import type {TaskId} from '../../base/task-id.js';

/** `number` counts the ends of an incarnation from 1. `lapsed`: the run was killed when its lease expired. */
export type RunEnd = {
	readonly number: number;
	readonly task: TaskId;
	readonly attempt: number;
	readonly how: 'done' | 'failed' | 'stopped' | 'lapsed' | 'other';
};
