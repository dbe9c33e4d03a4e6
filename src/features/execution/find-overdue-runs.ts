/** Which runs take much longer than they should. */
import type {Run} from './run.js';

/** A run over so many times what it's expected to take makes its target suspect: few on sound targets take as long. */
const suspectFactor = 2.2;
/** A single run that is over by so much is put down to its target: hardly any on a sound one takes as long. */
const overdueFactor = 3;
/** So many suspect runs at a time are put down to their target: it's unlikely that all of them are just long. */
const overdueToBlame = 2;
/** Added to the expected time, so that the way to the target and back isn't taken for slowness of very short tasks. */
const overdueSlackMilliseconds = 20;

/** What a report of a target says of its runs at the time when it came. */
type Findings = {
	/** Runs that are over their expected time by far: any of them may just be long. */
	readonly suspects: readonly Run[];
	/** Runs that are put down to their target: several at a time, or one that is over by very far. */
	readonly overdue: readonly Run[];
};

/** Only what was running at the time of the report counts, and only by how long it had run then. */
export function findOverdueRuns(runs: Iterable<Run>, reportedAt: number): Findings {
	const suspects = [...runs].filter(run => run.state === 'running' && isOver(run, reportedAt, suspectFactor));
	const overdue = suspects.length >= overdueToBlame ? suspects : suspects.filter(run => isOver(run, reportedAt, overdueFactor));
	return {suspects, overdue};
}

function isOver(run: Run, reportedAt: number, factor: number): boolean {
	return reportedAt - run.startedAt > (factor * run.slowdown * run.request.expectedMilliseconds) + overdueSlackMilliseconds;
}
