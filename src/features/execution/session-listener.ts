/** Events of a target's session. */
import type {Incarnation} from '../../base/incarnation.js';
import type {TaskId} from '../../base/task-id.js';
import type {ClockGap} from '../../runtime/clock-gap.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';

/** Every run gets exactly one outcome, unless it is handed over. */
export type SessionListener = {
	readonly onDidEndRun: (run: Run, outcome: RunOutcome) => void;
	/** Called after each report of the target. */
	readonly onDidReport: () => void;
	/** The target restarted under its id; what was learned about its health is void. */
	readonly onDidRestart: () => void;
	/** Tasks were lost with the target, which crashed or was silent for longer than its lease. */
	readonly onDidLoseTasks: (status: 'silent' | 'down' | 'unsure', incarnation: Incarnation | undefined, tasks: readonly TaskId[]) => void;
	/** The target answers for the first time, again, or as another incarnation. */
	readonly onDidAnswer: (incarnation: Incarnation | undefined) => void;
	/** The target's clock advanced by this much more than this entry's. */
	readonly onDidCompareClocks: (gap: ClockGap) => void;
	/** Free capacity, health or reachability may have changed. */
	readonly onDidChange: () => void;
	/** The session has ended: another owner has the target, or its incarnation is over. Runs on a fenced target end with their lease. */
	readonly onDidEnd: (cause: 'fenced' | 'replaced') => void;
};
