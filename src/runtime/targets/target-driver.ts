/** Task execution on targets. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {TaskAnswer} from '../../base/task-answer.js';
import type {Verdict} from '../../base/verdict.js';
import type {TargetAddress} from './target-address.js';
import type {TargetUsage} from './target-usage.js';
import type {TaskRequest} from './task-request.js';

/**
 * Client of targets. Its promises never reject. `run` sends a task at most once; retries are left to the caller, which knows
 * whether they are safe.
 */
export abstract class TargetDriver {
	/** Starts a task and resolves with its verdict; cancelling the token stops the task on the target. */
	abstract run(target: TargetAddress, request: TaskRequest, token: CancellationToken): Promise<Verdict<TaskAnswer>>;

	/** Returns the tasks that the target is running; undefined if the target gives no usable response. */
	abstract usage(target: TargetAddress): Promise<TargetUsage | undefined>;
}
