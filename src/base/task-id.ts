/** The branded type of a task id. */
import type {Brand} from './brand.js';

/** Identifier of one task: the submission's id, a slash and the task's position from 0. */
export type TaskId = Brand<string, 'TaskId'>;
