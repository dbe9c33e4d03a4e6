/** Branded type of a task id. */
import type {Brand} from './brand.js';

/** Identifier of one task, derived from the id of its submission or job and the task's position. */
export type TaskId = Brand<string, 'TaskId'>;
