/** Conversion of a reported end to an outcome. */
import type {RunEnd} from '../targets/run-end.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';

/** Returns the outcome of a run whose end was reported at a monotonic time. */
export function outcomeOfEnd(run: Run, {how}: RunEnd, target: string, now: number): RunOutcome {
	if (how === 'done') {
		// Durations are recorded as near the task's data.
		return {kind: 'done', target, ranMilliseconds: (now - run.startedAt) / run.slowdown};
	}

	if (how === 'failed') {
		return {kind: 'failed', target, isTargetSuspect: false};
	}

	return {kind: 'gone', target, cause: run.stopCause ?? how};
}
