/** What the users get for a job. */
import type {ModelOutcome} from './model-outcome.js';

const lateShare = 0.2;
const lateFactor = 3;
/** A job's worth is partly that of any job of its kind, and partly goes with its work. */
const fixedShare = 0.3;
const mostOfMean = 4;

/** What the job would yield if it were answered in time. */
function owedFor({job: {kind, runMilliseconds}}: ModelOutcome): number {
	const work = runMilliseconds.reduce((sum, milliseconds) => sum + milliseconds, 0);
	const relative = work / (kind.meanTasks * kind.taskMilliseconds);
	return kind.worth * Math.min(mostOfMean, fixedShare + ((1 - fixedShare) * relative));
}

/** In time: all of it; up to three objectives: a fifth; else nothing. */
export function worthOf(outcome: ModelOutcome): {readonly owed: number; readonly earned: number} {
	const {kind, tookMilliseconds, objectiveMilliseconds} = outcome;
	const owed = owedFor(outcome);
	if (kind !== 'answered' || tookMilliseconds > lateFactor * objectiveMilliseconds) {
		return {owed, earned: 0};
	}

	return {owed, earned: tookMilliseconds <= objectiveMilliseconds ? owed : lateShare * owed};
}
