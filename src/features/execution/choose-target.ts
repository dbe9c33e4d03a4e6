/** The choice among an entry's own targets. */
import {jobOfTask} from '../../base/job-of-task.js';
import type {Resources} from '../../base/resources.js';
import type {TargetHealth} from '../placement/target-health.js';
import {satisfiesConstraints} from './satisfies-constraints.js';
import type {LossHistory} from './loss-history.js';
import type {RunRequest} from './run-request.js';
import type {TargetSession} from './target-session.js';

/** A probe may be late or fail, and all of its job with it: only narrow jobs, of which little is lost, are used for it. */
const probeJobTasks = 2;

/** What is known of targets and tasks beside room; the time is monotonic. */
type Knowledge = {readonly health: TargetHealth; readonly losses: LossHistory; readonly now: number};

/**
 * Best fit: the target with the least room left keeps whole targets free for wide tasks. A task that was lost with a target
 * before has as little company as can be had: if it has crashed that target, it takes little with it the next time.
 */
export function chooseTarget(sessions: Iterable<TargetSession>, request: RunRequest, knowledge: Knowledge): TargetSession | undefined {
	let best: {readonly session: TargetSession; readonly company: number; readonly rest: number} | undefined;
	for (const session of sessions) {
		const {room} = session;
		if (!suits(session, request, room, knowledge)) {
			continue;
		}

		const company = companyOf(session, request, knowledge.losses);
		const rest = room.cpuMillis - request.need.cpuMillis;
		if (best === undefined || company < best.company || (company === best.company && rest < best.rest)) {
			best = {session, company, rest};
		}
	}

	return best?.session;
}

function suits(session: TargetSession, request: RunRequest, room: Resources, {health, now}: Knowledge): boolean {
	const {target} = session;
	const isKind = target.service === request.service && satisfiesConstraints(request, target.labels);
	if (!isKind || !session.isOpen || !request.need.fitsInto(room) || request.excludedTargets.includes(target.id) || session.isFullOfJob(request)) {
		return false;
	}

	const condition = health.condition(target.id, now);
	return condition === 'probe' ? request.jobTaskCount <= probeJobTasks : condition !== 'out';
}

/** For a task that was lost, the runs of other jobs beside it; for a sound one, those of them that were lost. */
function companyOf(session: TargetSession, {task}: RunRequest, losses: LossHistory): number {
	if (losses.isEmpty) {
		return 0;
	}

	const others = [...session.runs].map(({request}) => request.task).filter(other => jobOfTask(other) !== jobOfTask(task));
	return losses.conditionOf(task) === 'sound' ? others.filter(other => losses.conditionOf(other) !== 'sound').length : others.length;
}
