/** Choice among the targets that an entry owns. */
import {jobOfTask} from '../../base/job-of-task.js';
import type {MemberId} from '../../base/member-id.js';
import type {TargetHealth} from '../placement/target-health.js';
import type {LossHistory} from './loss-history.js';
import type {RunRequest} from './run-request.js';
import {satisfiesConstraints} from './satisfies-constraints.js';
import type {TargetOffer} from './target-offer.js';
import {TargetPreference} from './target-preference.js';
import type {TargetSession} from './target-session.js';
import type {TargetSpeed} from './target-speed.js';
import type {TargetSpeeds} from './target-speeds.js';

/** Maximum number of tasks of a job that may probe a target; a failed probe delays or fails its whole job. */
const maxProbeJobTasks = 2;

/** State that the choice depends on; `now` is monotonic. */
type SelectionContext = {
	readonly requester: MemberId;
	readonly health: TargetHealth;
	readonly speeds?: TargetSpeeds | undefined;
	readonly losses: LossHistory;
	readonly now: number;
};

type TargetChoice = Pick<TargetOffer, 'isInTime' | 'isInTimeByCapacity'> & {readonly session: TargetSession};

/**
 * Chooses among the eligible targets. Keeps tasks that may have crashed a target apart from other jobs' runs first; then prefers
 * by speed; then by best fit: the least remaining CPU, which keeps whole targets free for large tasks. Undefined if no target is
 * eligible.
 */
export function chooseTarget(sessions: Iterable<TargetSession>, request: RunRequest, context: SelectionContext): TargetChoice | undefined {
	const {millisecondsToObjective} = request;
	if (context.speeds === undefined || millisecondsToObjective === undefined) {
		const session = chooseBestFit(sessions, request, context);
		return session === undefined ? undefined : {session, isInTime: true, isInTimeByCapacity: true};
	}

	const {speeds} = context;
	const eligible: TargetSession[] = [];
	for (const session of sessions) {
		if (request.need.fitsInto(session.freeCapacity) && isEligible(session, request, context)) {
			eligible.push(session);
		}
	}

	const preference = new TargetPreference(request, millisecondsToObjective);
	const speedOf = ({target}: TargetSession): TargetSpeed => ({slowdown: speeds.slowdown(target.id, context.now), labels: target.labels});
	const {targets, isInTime} = preference.select(selectApart(eligible, request, context.losses), speedOf);
	const session = chooseBestFit(targets, request, context);
	if (session === undefined) {
		return undefined;
	}

	const isInTimeByCapacity = isInTime || preference.select(selectPublished(sessions, request, context), speedOf).isInTime;
	return {session, isInTime, isInTimeByCapacity};
}

/** The targets that other entries regard as eligible: their free capacity is published, and the task's history is unknown there. */
function selectPublished(sessions: Iterable<TargetSession>, request: RunRequest, {health, now}: SelectionContext): readonly TargetSession[] {
	return [...sessions].filter(({target, freeCapacity, isOpen}) => {
		const isMatching = request.need.fitsInto(freeCapacity) && target.service === request.service && satisfiesConstraints(request, target.labels);
		const condition = health.condition(target.id, now);
		return isMatching && isOpen && (condition === 'fit' || condition === 'slow');
	});
}

/** Returns the targets with the fewest runs from which the task has to be kept apart. */
function selectApart(sessions: readonly TargetSession[], request: RunRequest, losses: LossHistory): readonly TargetSession[] {
	if (losses.isEmpty) {
		return sessions;
	}

	const counts = sessions.map(session => countCoLocatedRuns(session, request, losses));
	const least = Math.min(...counts);
	return sessions.filter((_, index) => counts[index] === least);
}

/** The eligible target with the fewest runs from which the task has to be kept apart, and among these the best fit. */
function chooseBestFit(sessions: Iterable<TargetSession>, request: RunRequest, context: SelectionContext): TargetSession | undefined {
	let best: TargetSession | undefined;
	let [fewestCoLocatedRuns, leastRemainingCpuMillis] = [0, 0];
	// Most targets are full under load, and an eligible one is rarely better than the best so far. The checks that take long come last.
	for (const session of sessions) {
		const {freeCapacity} = session;
		if (!request.need.fitsInto(freeCapacity)) {
			continue;
		}

		const coLocatedRuns = countCoLocatedRuns(session, request, context.losses);
		const remainingCpuMillis = freeCapacity.cpuMillis - request.need.cpuMillis;
		const isBetter = best === undefined || coLocatedRuns < fewestCoLocatedRuns || (coLocatedRuns === fewestCoLocatedRuns && remainingCpuMillis < leastRemainingCpuMillis);
		if (isBetter && isEligible(session, request, context)) {
			best = session;
			fewestCoLocatedRuns = coLocatedRuns;
			leastRemainingCpuMillis = remainingCpuMillis;
		}
	}

	return best;
}

/** Whether a target whose free capacity suffices may run the task. */
function isEligible(session: TargetSession, request: RunRequest, {requester, health, now}: SelectionContext): boolean {
	const {target} = session;
	const isMatching = target.service === request.service && satisfiesConstraints(request, target.labels);
	if (!isMatching || request.excludedTargets.includes(target.id)) {
		return false;
	}

	const condition = health.condition(target.id, now);
	const isFit = condition === 'probe' ? request.jobTaskCount <= maxProbeJobTasks : condition !== 'out';
	return isFit && !session.hasReachedJobLimit(request) && session.isOpenFor(requester);
}

/** Counts the runs of other jobs on the target for a task that was lost before; for a sound one, only those that were lost before. */
function countCoLocatedRuns(session: TargetSession, {task}: RunRequest, losses: LossHistory): number {
	if (losses.isEmpty) {
		return 0;
	}

	const others = [...session.runs].map(({request}) => request.task).filter(other => jobOfTask(other) !== jobOfTask(task));
	return losses.conditionOf(task) === 'sound' ? others.filter(other => losses.conditionOf(other) !== 'sound').length : others.length;
}
