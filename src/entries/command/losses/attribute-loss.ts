/** Attributes the delay of a job to its causes. */
import type {Attempt} from './attempt.js';
import type {FreeCapacity} from './free-capacity.js';
import type {JobTrace} from './job-trace.js';
import type {LossReason} from './loss-reason.js';
import type {TargetSpeeds} from './target-speeds.js';

type FleetState = {readonly freeCapacity: FreeCapacity; readonly speeds: TargetSpeeds};
type Delay = {readonly reason: LossReason; readonly milliseconds: number};

/** Causes in `runStopped` and `runEnded` lines that are more specific than the outcome. */
const unansweredCause = 'start without an answer';
const overdueCause = 'overdue';
const unadoptedCause = 'handed over to nobody';
/** The end of the verdict's detail. */
const forecastDetail = 'by the forecast';
/** Assumed for tasks whose demand was not logged; fits on every target with free capacity. */
const unknownCpuMillis = 1;

/**
 * Returns the reasons why a job was not answered in time, with weights that add up to 1. The weights divide the job's delay,
 * which is the time until its last task ended, less the expected run time of that task.
 */
export function attributeLoss(job: JobTrace, fleet: FleetState): ReadonlyMap<LossReason, number> {
	if (job.end?.detail.endsWith(forecastDetail) === true) {
		return new Map([['refusedByForecast', 1]]);
	}

	const sums = new Map<LossReason, number>();
	for (const {reason, milliseconds} of delaysOf(job, fleet)) {
		if (milliseconds > 0) {
			sums.set(reason, (sums.get(reason) ?? 0) + milliseconds);
		}
	}

	const total = [...sums.values()].reduce((sum, value) => sum + value, 0);
	return total === 0 ? new Map([['unexplained', 1]]) : new Map([...sums].map(([reason, milliseconds]) => [reason, milliseconds / total]));
}

function delaysOf(job: JobTrace, fleet: FleetState): readonly Delay[] {
	const delays: Delay[] = [{reason: 'resubmitted', milliseconds: job.acceptedAt - job.firstAcceptedAt}];
	if (job.end === undefined) {
		// The entry was lost, or the log ends before the answer.
		return [...delays, {reason: 'resubmitted', milliseconds: job.callerTimeoutMilliseconds}];
	}

	const attempts = criticalAttempts(job);
	const cpuMillis = cpuDemandOf(job);
	let previousEnd = job.acceptedAt;
	for (const [index, attempt] of attempts.entries()) {
		const attemptStart = attempt.sentAt ?? attempt.startedAt ?? previousEnd;
		const next = attempts[index + 1];
		// An attempt that is followed by another one has ended, even if its end was not logged.
		const endedAt = attempt.endedAt ?? next?.sentAt ?? next?.startedAt ?? job.end.at;
		delays.push(...waitDelays(previousEnd, attemptStart, cpuMillis, fleet.freeCapacity), ...attemptDelays(job, attempt, endedAt, fleet));
		previousEnd = endedAt;
	}

	const isWaiting = attempts.at(-1)?.outcome !== 'done';
	return isWaiting ? [...delays, ...waitDelays(previousEnd, job.end.at, cpuMillis, fleet.freeCapacity)] : [...delays, {reason: 'onTheWay', milliseconds: job.end.at - previousEnd}];
}

/** The attempts of the task that ended last, or of one that has not ended. Empty if that task was never started. */
function criticalAttempts(job: JobTrace): readonly Attempt[] {
	const {tasks} = job;
	const isDone = (attempts: readonly Attempt[]) => attempts.some(({outcome}) => outcome === 'done');
	const unfinished = tasks.filter(attempts => !isDone(attempts));
	const isAnyNotStarted = tasks.length < job.taskCount;
	if (job.end?.verdict !== 'answered') {
		const running = unfinished.find(attempts => attempts.at(-1)?.endedAt === undefined);
		return (job.end?.detail.startsWith('executorLost') ? running : undefined) ?? (isAnyNotStarted ? [] : (unfinished[0] ?? []));
	}

	const endOf = (attempts: readonly Attempt[]) => Math.max(...attempts.map(({endedAt}) => endedAt ?? 0));
	return [...tasks].sort((left, right) => endOf(left) - endOf(right)).at(-1) ?? [];
}

function cpuDemandOf(job: JobTrace): number {
	const needs = job.tasks.flat().flatMap(({cpuMillis}) => cpuMillis ?? []);
	return needs[0] ?? unknownCpuMillis;
}

function waitDelays(from: number, to: number, cpuMillis: number, freeCapacity: FreeCapacity): readonly Delay[] {
	const total = Math.max(0, to - from);
	const besideFreeCapacity = total * freeCapacity.fractionWithCapacity(from, to, cpuMillis);
	return [{reason: 'waitedBesideIdleRoom', milliseconds: besideFreeCapacity}, {reason: 'waitedForRoom', milliseconds: total - besideFreeCapacity}];
}

function attemptDelays(job: JobTrace, attempt: Attempt, endedAt: number, {speeds}: FleetState): readonly Delay[] {
	const {sentAt, startedAt} = attempt;
	if (startedAt === undefined) {
		const reason = attempt.outcome === 'refused' ? 'refusedByOwner' : (job.end?.detail.startsWith('executorLost') ? 'ownerLost' : 'onTheWay');
		return [{reason, milliseconds: endedAt - (sentAt ?? endedAt)}];
	}

	const transit: Delay = {reason: 'onTheWay', milliseconds: startedAt - (sentAt ?? startedAt)};
	const runMilliseconds = endedAt - startedAt;
	if (attempt.outcome === 'done') {
		const excess = Math.max(0, runMilliseconds - job.expectedMilliseconds);
		return [transit, {reason: speeds.isSlow(attempt.target) ? 'slowTarget' : 'longRun', milliseconds: excess}];
	}

	return [transit, {reason: reasonForEnd(job, attempt), milliseconds: runMilliseconds}];
}

function reasonForEnd(job: JobTrace, {outcome, cause, stopCause}: Attempt): LossReason {
	if (outcome === 'refused') {
		return 'refusedByOwner';
	}

	if (outcome === 'failed') {
		return 'runFailed';
	}

	const causes = new Set([cause, stopCause]);
	if (causes.has(unansweredCause)) {
		return 'orderUnanswered';
	}

	if (causes.has(overdueCause)) {
		return 'slowTarget';
	}

	if (outcome === undefined) {
		return job.end?.detail.startsWith('executorLost') ? 'ownerLost' : 'unexplained';
	}

	return causes.has(unadoptedCause) ? 'ownerLost' : 'targetLost';
}
