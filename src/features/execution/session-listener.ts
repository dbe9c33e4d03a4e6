/** What a target's session tells its owner. */
import type {Incarnation} from '../../base/incarnation.js';
import type {TaskId} from '../../base/task-id.js';
import type {UncountedTime} from '../../runtime/uncounted-time.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';

/** Every run gets exactly one outcome, unless it's handed over. */
export type SessionListener = {
	readonly onDidEndRun: (run: Run, outcome: RunOutcome) => void;
	/** The target told what runs there and what has ended. */
	readonly onDidReport: () => void;
	/** The target started again under its id: what was found out about it before doesn't hold any more. */
	readonly onDidRestart: () => void;
	/** These tasks are lost with the target, which has crashed or has been silent for longer than its lease. */
	readonly onDidLose: (status: 'silent' | 'down' | 'unsure', incarnation: Incarnation | undefined, tasks: readonly TaskId[]) => void;
	/** The target answers for the first time, again, or in another life. */
	readonly onDidAnswer: (incarnation: Incarnation | undefined) => void;
	/** The target's clock has gone on by so much more than this entry's. */
	readonly onDidCompareClocks: (uncounted: UncountedTime) => void;
	/** Room, fitness or reachability changed. */
	readonly onDidChange: () => void;
	/** The session can't go on: another owner has the target, or its life is over. All its runs have got an outcome. */
	readonly onDidEnd: (cause: 'fenced' | 'replaced') => void;
};
