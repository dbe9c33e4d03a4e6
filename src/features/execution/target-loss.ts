/** A report on the loss of a target, and on its recovery. */
import type {Incarnation} from '../../base/incarnation.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TaskId} from '../../base/task-id.js';

/**
 * - `silent`: the target doesn't answer and its lease has expired; it may have crashed or be unreachable.
 * - `down`: the target crashed. Without tasks, this applies to the tasks that were reported as lost when it became silent.
 * - `unsure`: the target was lost before it confirmed that it started the tasks; it may have crashed before that.
 * - `back`: the target answers and didn't crash.
 */
export type TargetLoss = {
	readonly target: InstanceId;
	/** The incarnation that was lost, or the one that answers now; undefined if the platform doesn't provide it. */
	readonly incarnation: Incarnation | undefined;
	readonly status: 'silent' | 'down' | 'unsure' | 'back';
	/** The lost tasks. */
	readonly tasks: readonly TaskId[];
};
