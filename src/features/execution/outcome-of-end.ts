/** What a listed end means for the run's task. */
import type {RunEnd} from '../targets/run-end.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';

/** The outcome of a run whose end a target lists now. */
export function outcomeOfEnd(run: Run, {how}: RunEnd, target: string, now: number): RunOutcome {
	if (how === 'done') {
		// What is learned from it says how long such tasks take near their data.
		return {kind: 'done', target, ranMilliseconds: (now - run.startedAt) / run.slowdown};
	}

	if (how === 'failed') {
		return {kind: 'failed', target, isTargetSuspect: false};
	}

	return {kind: 'gone', target, cause: run.stopCause ?? how};
}
