/** Refusal of jobs by the backlog of the fleet. */
import type {Random} from '../../base/random.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {WaitingWork} from '../backlog/waiting-work.js';
import type {ZoneBacklog} from '../backlog/zone-backlog.js';
import {AdmissionForecast} from './admission-forecast.js';
import type {BestEffortJob} from './best-effort-job.js';
import {estimateStart} from './estimate-start.js';
import {ForecastCalibration} from './forecast-calibration.js';
import type {JobOutcome} from './job-outcome.js';
import {RefusedJobs} from './refused-jobs.js';
import type {RunningJob} from './running-job.js';
import type {StartEstimate} from './start-estimate.js';
import {weightedStartOf} from './weighted-start-of.js';

/** Retries are spread over at least this time, since callers get whole seconds. */
const shortestSpreadMilliseconds = 2000;
const longestRetryMilliseconds = 10_000;

/** Dependencies of the forecast. */
type FleetForecastParts = {
	/** The current figures by zone; this entry's zone comes first. */
	readonly view: (now: number) => readonly ZoneBacklog[];
	/** How many tasks of a job could start now, on any target that this entry knows to be free. */
	readonly freePlaces: (job: BestEffortJob) => number;
	readonly waiting: WaitingWork;
	readonly random: Random;
	readonly journal: Journal;
};

/**
 * Refuses a job at its arrival if it can't be in time even if all that is known of the fleet goes well. Jobs are held in case of doubt:
 * a job that could have been in time is lost by a refusal, while one that is held in vain only waits.
 */
export class FleetForecast extends AdmissionForecast {
	readonly #calibration = new ForecastCalibration();
	readonly #refused = new RefusedJobs();
	/** The estimates of the jobs that are held. */
	readonly #held = new Map<RunningJob, StartEstimate | undefined>();

	constructor(private readonly parts: FleetForecastParts) {
		super();
	}

	/** The factor of the estimates, and counts of errors. */
	get calibration(): Pick<ForecastCalibration, 'scale' | 'refutedRefusals' | 'unservedJobs'> {
		return this.#calibration;
	}

	override refusalOf(job: RunningJob, now: number): Extract<Verdict<JobOutcome>, {kind: 'notRun'}> | undefined {
		if (!isFirstSubmission(job) || job.isBeforeCapacityKnown || isConstrained(job.job)) {
			return undefined;
		}

		const zones = this.parts.view(now);
		const estimate = estimateStart(zones, {service: job.job.route.service, laxityMilliseconds: weightedStartOf(job) - now});
		const leftMilliseconds = job.objectiveAt - job.expectedMilliseconds - now;
		if (estimate === undefined || estimate.waitMilliseconds * this.#calibration.scale <= leftMilliseconds || this.#hasFreeTarget(job.job, zones)) {
			this.#held.set(job, estimate);
			return undefined;
		}

		return this.#refuse(job, estimate, leftMilliseconds, now);
	}

	override recordWaiting(running: RunningJob): void {
		if (!running.isEnded) {
			this.#setWaiting(running, running.waitingCount);
		}
	}

	override recordStart(running: RunningJob, now: number): void {
		this.recordWaiting(running);
		this.#recordRefuted(this.#refused.recordStart({job: running.job, weightedStart: weightedStartOf(running)}, now));
	}

	override recordEnd(running: RunningJob, verdict: Verdict<JobOutcome>): void {
		this.#setWaiting(running, 0);
		const isUnserved = verdict.kind !== 'answered' && (verdict.cause === 'deadlineUnreachable' || verdict.cause === 'waitExpired');
		if (isUnserved && this.#held.has(running)) {
			this.#calibration.recordUnservedJob((this.#held.get(running)?.waitMilliseconds ?? 0) > 0);
		}

		this.#held.delete(running);
	}

	/** Records that capacity may have become free. While tasks wait here, they take it, and their starts show what was left for others. */
	recordFreeCapacity(now: number): void {
		if (this.#refused.size > 0 && this.parts.waiting.services.size === 0) {
			this.#recordRefuted(this.#refused.recordFreePlaces(this.parts.freePlaces, now));
		}
	}

	/**
	 * Free parts of targets in a zone where smaller tasks wait can't be used, or are about to be. Elsewhere they may not be known to
	 * this entry yet, which has connections to few entries of another zone.
	 */
	#hasFreeTarget(job: BestEffortJob, zones: readonly ZoneBacklog[]): boolean {
		const {cpuMillis} = job.shape.need;
		const hasFreeZone = zones.flatMap(zone => zone.services).some(({service, largestFreeCpuMillis, queues}) =>
			service === job.route.service && largestFreeCpuMillis >= cpuMillis && !queues.some(queue => queue.cpuMillis <= queue.tasks * largestFreeCpuMillis));
		return hasFreeZone || this.parts.freePlaces(job) > 0;
	}

	#refuse(running: RunningJob, estimate: StartEstimate, leftMilliseconds: number, now: number): Extract<Verdict<JobOutcome>, {kind: 'notRun'}> {
		const {job} = running;
		const {scale} = this.#calibration;
		const retryAfterMilliseconds = this.#retryAfter((scale * estimate.waitMilliseconds) - leftMilliseconds, scale * estimate.clearMilliseconds);
		this.#refused.add(job, weightedStartOf(running), now + leftMilliseconds);
		this.parts.journal.record('jobForecastLate', {
			job: job.id,
			queue: job.route.queue,
			tasks: job.shape.count,
			cpuMillis: job.shape.need.cpuMillis,
			leftMilliseconds: Math.round(leftMilliseconds),
			waitMilliseconds: Math.round(estimate.waitMilliseconds),
			scale: Math.round(scale * 100) / 100,
			tasksBefore: Math.round(estimate.tasksBefore),
			coreMillisecondsBefore: Math.round(estimate.coreMillisecondsBefore),
			totalCpuMillis: estimate.totalCpuMillis,
			endedTasks: estimate.endedTasks,
			zones: estimate.zones,
			oldestFigureMilliseconds: Math.round(estimate.oldestFigureMilliseconds),
			retryAfterMilliseconds,
		});
		return {
			kind: 'notRun', cause: 'deadlineUnreachable', detail: 'no capacity in time by the forecast', retryAfterMilliseconds,
		};
	}

	/** A random time from when the job could be in time until the backlog is gone, so that callers don't retry at the same time. */
	#retryAfter(excessMilliseconds: number, clearMilliseconds: number): number {
		const spread = Math.max(shortestSpreadMilliseconds, clearMilliseconds);
		return Math.ceil(Math.min(longestRetryMilliseconds, excessMilliseconds + (this.parts.random.fraction() * spread)));
	}

	#recordRefuted(refuted: readonly BestEffortJob[]): void {
		for (const {id, route} of refuted) {
			this.#calibration.recordRefutedRefusal();
			this.parts.journal.record('forecastRefuted', {job: id, queue: route.queue, scale: Math.round(this.#calibration.scale * 100) / 100});
		}
	}

	#setWaiting(running: RunningJob, waitingTasks: number): void {
		const {job, expectedMilliseconds, receivedAt, objectiveAt} = running;
		this.parts.waiting.set(job.id, {
			queue: job.route.queue,
			service: job.route.service,
			cpuMillis: job.shape.need.cpuMillis,
			expectedMilliseconds,
			receivedAt,
			latestStart: objectiveAt - expectedMilliseconds,
			weightedStart: weightedStartOf(running),
			hasBegun: running.mayHaveRun,
			waitingTasks,
		});
	}
}

/** A job that may have run, or that was refused elsewhere before, has already waited and isn't refused without an attempt. */
function isFirstSubmission({mayHaveRun, submission}: RunningJob): boolean {
	return !mayHaveRun && (submission.ageMilliseconds ?? 0) === 0;
}

/** The figures don't tell which targets the waiting work can use, so that they say little about a job that can use few. */
function isConstrained({shape: {need, place}}: BestEffortJob): boolean {
	return need.accelerators > 0 || place.label !== undefined || place.nearLabel !== undefined;
}
