/** Aggregates logs to job counts by queue and time slice, with the reasons for jobs that were not answered in time. */
import {jobOfTask} from '../../../base/job-of-task.js';
import type {LogLine} from '../log-line.js';
import {attributeLoss} from './attribute-loss.js';
import {outcomeOf} from './outcome-of.js';
import {FreeCapacity} from './free-capacity.js';
import {JobTrace} from './job-trace.js';
import {countLost} from './count-lost.js';
import type {SliceLosses} from './slice-losses.js';
import {TargetSpeeds} from './target-speeds.js';

/** How long a job is kept after its end, for resubmissions and for late lines of other entries. */
const retentionMilliseconds = 3000;
/** How long a job without an end is kept after its caller's timeout. */
const answerGraceMilliseconds = 2000;
/** Interval between checks for jobs that can be counted. */
const checkIntervalMilliseconds = 500;

/** Processes log lines in order of time. Memory use is bounded by the jobs in flight and the totals. */
export class LossAnalysis {
	readonly #jobs = new Map<string, JobTrace>();
	readonly #slices = new Map<string, SliceLosses>();
	readonly #freeCapacity = new FreeCapacity();
	readonly #speeds = new TargetSpeeds();
	#firstAcceptedAt: number | undefined;
	#checkedAt = 0;

	constructor(private readonly sliceMilliseconds: number) {}

	/** The number of jobs that have not been counted yet. */
	get jobsInFlight(): number {
		return this.#jobs.size;
	}

	add(line: LogLine): void {
		this.#freeCapacity.add(line);
		switch (line.event) {
			case 'jobAccepted': {
				this.#accept(line);
				break;
			}

			case 'jobEnded': {
				this.#end(line);
				break;
			}

			case 'taskSent':
			case 'runStarted':
			case 'runRefused':
			case 'runStopped':
			case 'runEnded': {
				this.#addTaskLine(line);
				break;
			}

			default: {
				break;
			}
		}

		if (line.at - this.#checkedAt > checkIntervalMilliseconds) {
			this.#checkedAt = line.at;
			this.#countFinished(line.at);
		}
	}

	/** Counts all remaining jobs, and returns the slices by descending number of lost jobs. */
	finish(): readonly SliceLosses[] {
		this.#countFinished(Number.POSITIVE_INFINITY);
		return [...this.#slices.values()].sort((left, right) => countLost(right) - countLost(left) || left.fromMilliseconds - right.fromMilliseconds);
	}

	#accept(line: LogLine): void {
		this.#firstAcceptedAt ??= line.at;
		const id = String(line.fields.job);
		const known = this.#jobs.get(id);
		if (known === undefined) {
			this.#jobs.set(id, new JobTrace(id, line));
		} else {
			known.resubmit(line.at);
		}
	}

	#end({at, fields}: LogLine): void {
		const job = this.#jobs.get(String(fields.job));
		if (job !== undefined) {
			job.end = {at, verdict: String(fields.verdict), detail: String(fields.detail)};
		}
	}

	#addTaskLine(line: LogLine): void {
		const {task, outcome, target, ranMilliseconds} = line.fields;
		const job = this.#jobs.get(jobOfTask(String(task)));
		job?.addTaskLine(line);
		if (job !== undefined && outcome === 'done') {
			this.#speeds.record(String(target), Number(ranMilliseconds), job.expectedMilliseconds);
		}
	}

	#countFinished(now: number): void {
		for (const [id, job] of this.#jobs) {
			const finishedAt = job.end === undefined ? job.acceptedAt + job.callerTimeoutMilliseconds + answerGraceMilliseconds : job.end.at + retentionMilliseconds;
			if (now > finishedAt) {
				this.#jobs.delete(id);
				this.#count(job);
			}
		}
	}

	#count(job: JobTrace): void {
		const slice = this.#sliceOf(job);
		const outcome = outcomeOf(job);
		slice.counts[outcome] += 1;
		if (outcome === 'inTime') {
			return;
		}

		for (const [reason, share] of attributeLoss(job, {freeCapacity: this.#freeCapacity, speeds: this.#speeds})) {
			slice.reasons.set(reason, (slice.reasons.get(reason) ?? 0) + share);
		}
	}

	#sliceOf({queue, firstAcceptedAt}: JobTrace): SliceLosses {
		const offset = firstAcceptedAt - (this.#firstAcceptedAt ?? firstAcceptedAt);
		const fromMilliseconds = Math.floor(offset / this.sliceMilliseconds) * this.sliceMilliseconds;
		const key = `${fromMilliseconds} ${queue}`;
		const slice = this.#slices.get(key) ?? {
			fromMilliseconds,
			queue,
			counts: {
				inTime: 0, late: 0, refused: 0, givenUp: 0, unanswered: 0,
			},
			reasons: new Map(),
		};
		this.#slices.set(key, slice);
		return slice;
	}
}
