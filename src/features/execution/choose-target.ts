/** Choice among the targets that an entry owns. */
import {jobOfTask} from '../../base/job-of-task.js';
import type {MemberId} from '../../base/member-id.js';
import type {Resources} from '../../base/resources.js';
import type {TargetHealth} from '../placement/target-health.js';
import type {LossHistory} from './loss-history.js';
import type {RunRequest} from './run-request.js';
import {satisfiesConstraints} from './satisfies-constraints.js';
import type {TargetSession} from './target-session.js';

/** Maximum number of tasks of a job that may probe a target; a failed probe delays or fails its whole job. */
const maxProbeJobTasks = 2;

/** State that the choice depends on; `now` is monotonic. */
type SelectionContext = {readonly requester: MemberId; readonly health: TargetHealth; readonly losses: LossHistory; readonly now: number};

/**
 * Best fit: chooses the eligible target with the least remaining CPU, which keeps whole targets free for large tasks. Keeps
 * tasks that may have crashed a target apart from other jobs' runs first. Undefined if no target is eligible.
 */
export function chooseTarget(sessions: Iterable<TargetSession>, request: RunRequest, context: SelectionContext): TargetSession | undefined {
	let best: {readonly session: TargetSession; readonly coLocatedRuns: number; readonly remainingCpuMillis: number} | undefined;
	for (const session of sessions) {
		const {freeCapacity} = session;
		if (!isEligible(session, request, freeCapacity, context)) {
			continue;
		}

		const coLocatedRuns = countCoLocatedRuns(session, request, context.losses);
		const remainingCpuMillis = freeCapacity.cpuMillis - request.need.cpuMillis;
		if (best === undefined || coLocatedRuns < best.coLocatedRuns || (coLocatedRuns === best.coLocatedRuns && remainingCpuMillis < best.remainingCpuMillis)) {
			best = {session, coLocatedRuns, remainingCpuMillis};
		}
	}

	return best?.session;
}

function isEligible(session: TargetSession, request: RunRequest, freeCapacity: Resources, {requester, health, now}: SelectionContext): boolean {
	const {target} = session;
	const isMatching = target.service === request.service && satisfiesConstraints(request, target.labels);
	if (!isMatching || !session.isOpenFor(requester) || !request.need.fitsInto(freeCapacity) || request.excludedTargets.includes(target.id) || session.hasReachedJobLimit(request)) {
		return false;
	}

	const condition = health.condition(target.id, now);
	return condition === 'probe' ? request.jobTaskCount <= maxProbeJobTasks : condition !== 'out';
}

/** Counts the runs of other jobs on the target for a task that was lost before; for a sound one, only those that were lost before. */
function countCoLocatedRuns(session: TargetSession, {task}: RunRequest, losses: LossHistory): number {
	if (losses.isEmpty) {
		return 0;
	}

	const others = [...session.runs].map(({request}) => request.task).filter(other => jobOfTask(other) !== jobOfTask(task));
	return losses.conditionOf(task) === 'sound' ? others.filter(other => losses.conditionOf(other) !== 'sound').length : others.length;
}
