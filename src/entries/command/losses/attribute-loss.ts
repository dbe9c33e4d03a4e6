/** Which part of a job's way took its time. */
import type {Attempt} from './attempt.js';
import type {FreeCapacity} from './free-capacity.js';
import type {JobTrace} from './job-trace.js';
import type {LossReason} from './loss-reason.js';
import type {TargetSpeeds} from './target-speeds.js';

type Surroundings = {readonly room: FreeCapacity; readonly paces: TargetSpeeds};
type Part = {readonly reason: LossReason; readonly milliseconds: number};

/** Causes in `runStopped` and `runEnded` lines that name more than the outcome does. */
const unansweredCause = 'start without an answer';
const overdueCause = 'overdue';
const nobodyCause = 'handed over to nobody';
/** For a task that no line told the need of: less than any target has. */
const unknownCpuMillis = 1;

/**
 * Shares of the reasons for a job that was not answered in time, which add up to 1. They divide the time of the task that the
 * job waited for last: all but what a sound run of it takes.
 */
export function attributeLoss(job: JobTrace, surroundings: Surroundings): ReadonlyMap<LossReason, number> {
	const sums = new Map<LossReason, number>();
	for (const {reason, milliseconds} of partsOf(job, surroundings)) {
		if (milliseconds > 0) {
			sums.set(reason, (sums.get(reason) ?? 0) + milliseconds);
		}
	}

	const whole = [...sums.values()].reduce((total, part) => total + part, 0);
	return whole === 0 ? new Map([['unexplained', 1]]) : new Map([...sums].map(([reason, part]) => [reason, part / whole]));
}

function partsOf(job: JobTrace, surroundings: Surroundings): readonly Part[] {
	const parts: Part[] = [{reason: 'resubmitted', milliseconds: job.acceptedAt - job.firstAcceptedAt}];
	if (job.end === undefined) {
		// Its entry was lost, or the log ends before its answer.
		return [...parts, {reason: 'resubmitted', milliseconds: job.patienceMilliseconds}];
	}

	const attempts = lastAwaited(job);
	const cpuMillis = cpuOf(job);
	let reached = job.acceptedAt;
	for (const [index, attempt] of attempts.entries()) {
		const begunAt = attempt.sentAt ?? attempt.startedAt ?? reached;
		const next = attempts[index + 1];
		// An attempt that is followed by another one has ended, whether a line tells of it or not.
		const endedAt = attempt.endedAt ?? next?.sentAt ?? next?.startedAt ?? job.end.at;
		parts.push(...waitBetween(reached, begunAt, cpuMillis, surroundings.room), ...partsOfAttempt(job, attempt, endedAt, surroundings));
		reached = endedAt;
	}

	const isWaiting = attempts.at(-1)?.outcome !== 'done';
	return isWaiting ? [...parts, ...waitBetween(reached, job.end.at, cpuMillis, surroundings.room)] : [...parts, {reason: 'onTheWay', milliseconds: job.end.at - reached}];
}

/** The attempts of the task that ended last, or of one that has not ended; none where that one was never begun. */
function lastAwaited(job: JobTrace): readonly Attempt[] {
	const {tasks} = job;
	const isDone = (attempts: readonly Attempt[]) => attempts.some(({outcome}) => outcome === 'done');
	const open = tasks.filter(attempts => !isDone(attempts));
	const isNeverBegun = tasks.length < job.taskCount;
	if (job.end?.verdict !== 'answered') {
		const running = open.find(attempts => attempts.at(-1)?.endedAt === undefined);
		return (job.end?.detail.startsWith('executorLost') ? running : undefined) ?? (isNeverBegun ? [] : (open[0] ?? []));
	}

	const endOf = (attempts: readonly Attempt[]) => Math.max(...attempts.map(({endedAt}) => endedAt ?? 0));
	return [...tasks].sort((left, right) => endOf(left) - endOf(right)).at(-1) ?? [];
}

function cpuOf(job: JobTrace): number {
	const needs = job.tasks.flat().flatMap(({cpuMillis}) => cpuMillis ?? []);
	return needs[0] ?? unknownCpuMillis;
}

function waitBetween(from: number, to: number, cpuMillis: number, room: FreeCapacity): readonly Part[] {
	const whole = Math.max(0, to - from);
	const beside = whole * room.shareWithRoom(from, to, cpuMillis);
	return [{reason: 'waitedBesideIdleRoom', milliseconds: beside}, {reason: 'waitedForRoom', milliseconds: whole - beside}];
}

function partsOfAttempt(job: JobTrace, attempt: Attempt, endedAt: number, {paces}: Surroundings): readonly Part[] {
	const {sentAt, startedAt} = attempt;
	if (startedAt === undefined) {
		const reason = attempt.outcome === 'refused' ? 'refusedByOwner' : (job.end?.detail.startsWith('executorLost') ? 'ownerLost' : 'onTheWay');
		return [{reason, milliseconds: endedAt - (sentAt ?? endedAt)}];
	}

	const way: Part = {reason: 'onTheWay', milliseconds: startedAt - (sentAt ?? startedAt)};
	const ran = endedAt - startedAt;
	if (attempt.outcome === 'done') {
		const excess = Math.max(0, ran - job.expectedMilliseconds);
		return [way, {reason: paces.isSlow(attempt.target) ? 'slowTarget' : 'longRun', milliseconds: excess}];
	}

	return [way, {reason: reasonOfEnd(job, attempt), milliseconds: ran}];
}

function reasonOfEnd(job: JobTrace, {outcome, cause, stopCause}: Attempt): LossReason {
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

	return causes.has(nobodyCause) ? 'ownerLost' : 'targetLost';
}
