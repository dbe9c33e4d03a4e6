/** News of a target that went down, or may have, with what ran there. */
import type {Incarnation} from '../../base/incarnation.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TaskId} from '../../base/task-id.js';

/**
 * - `silent`: it doesn't answer and its lease has passed; it may have crashed or be cut off.
 * - `down`: it crashed. Without tasks this is said of those that were lost when it fell silent.
 * - `unsure`: as `silent`, and the target has never said that it started the tasks: it may have been down before.
 * - `back`: it was only cut off. Nothing went down with it.
 */
export type TargetLoss = {
	readonly target: InstanceId;
	/** The life that was lost, or the one that answers now; nothing where the platform doesn't state it. */
	readonly incarnation: Incarnation | undefined;
	readonly status: 'silent' | 'down' | 'unsure' | 'back';
	/** What ran there and is lost. */
	readonly tasks: readonly TaskId[];
};
