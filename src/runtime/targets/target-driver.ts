/** How an entry talks to targets. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {TaskAnswer} from '../../base/task-answer.js';
import type {Verdict} from '../../base/verdict.js';
import type {TargetAddress} from './target-address.js';
import type {TargetUsage} from './target-usage.js';
import type {TaskRequest} from './task-request.js';

/**
 * The adapter to targets. `run` sends one start at most and never tries again: only its caller knows whether that is
 * safe. Nothing here rejects.
 */
export abstract class TargetDriver {
	/** Starts a task and waits for its end; a cancelled token stops it at the target. */
	abstract run(target: TargetAddress, order: TaskRequest, token: CancellationToken): Promise<Verdict<TaskAnswer>>;

	/** Asks what the target runs; none where it can't be asked. */
	abstract usage(target: TargetAddress): Promise<TargetUsage | undefined>;
}
