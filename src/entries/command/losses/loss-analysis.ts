/** The account of a log: jobs by queue and slice, and why those that were not in time were not. */
import {jobOfTask} from '../../../base/job-of-task.js';
import type {LogLine} from '../log-line.js';
import {attributeLoss} from './attribute-loss.js';
import {outcomeOf} from './outcome-of.js';
import {FreeCapacity} from './free-capacity.js';
import {JobTrace} from './job-trace.js';
import {countLost} from './count-lost.js';
import type {SliceLosses} from './slice-losses.js';
import {TargetSpeeds} from './target-speeds.js';

/** After its end a job is kept for so long: its caller may submit it again, and lines of other entries may come later. */
const settlingMilliseconds = 3000;
/** A job whose caller has stopped waiting for so long gets no answer any more. */
const silenceMilliseconds = 2000;
/** How often jobs are looked through for those that are settled. */
const lookMilliseconds = 500;

/** Takes lines in the order of time; keeps no more than the jobs in flight and the sums. */
export class LossAnalysis {
	readonly #jobs = new Map<string, JobTrace>();
	readonly #slices = new Map<string, SliceLosses>();
	readonly #room = new FreeCapacity();
	readonly #paces = new TargetSpeeds();
	#beginning: number | undefined;
	#lookedAt = 0;

	constructor(private readonly sliceMilliseconds: number) {}

	/** Jobs whose end isn't settled. */
	get inFlight(): number {
		return this.#jobs.size;
	}

	take(line: LogLine): void {
		this.#room.take(line);
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
				this.#takeTask(line);
				break;
			}

			default: {
				break;
			}
		}

		if (line.at - this.#lookedAt > lookMilliseconds) {
			this.#lookedAt = line.at;
			this.#settle(line.at);
		}
	}

	/** Counts all jobs that are left, and returns the slices, those that lose most first. */
	close(): readonly SliceLosses[] {
		this.#settle(Number.POSITIVE_INFINITY);
		return [...this.#slices.values()].sort((left, right) => countLost(right) - countLost(left) || left.fromMilliseconds - right.fromMilliseconds);
	}

	#accept(line: LogLine): void {
		this.#beginning ??= line.at;
		const id = String(line.fields.job);
		const known = this.#jobs.get(id);
		if (known === undefined) {
			this.#jobs.set(id, new JobTrace(id, line));
		} else {
			known.acceptAgain(line.at);
		}
	}

	#end({at, fields}: LogLine): void {
		const job = this.#jobs.get(String(fields.job));
		if (job !== undefined) {
			job.end = {at, verdict: String(fields.verdict), detail: String(fields.detail)};
		}
	}

	#takeTask(line: LogLine): void {
		const {task, outcome, target, ranMilliseconds} = line.fields;
		const job = this.#jobs.get(jobOfTask(String(task)));
		job?.take(line);
		if (job !== undefined && outcome === 'done') {
			this.#paces.record(String(target), Number(ranMilliseconds), job.expectedMilliseconds);
		}
	}

	#settle(now: number): void {
		for (const [id, job] of this.#jobs) {
			const settledAt = job.end === undefined ? job.acceptedAt + job.patienceMilliseconds + silenceMilliseconds : job.end.at + settlingMilliseconds;
			if (now > settledAt) {
				this.#jobs.delete(id);
				this.#count(job);
			}
		}
	}

	#count(job: JobTrace): void {
		const slice = this.#sliceOf(job);
		const fate = outcomeOf(job);
		slice.counts[fate] += 1;
		if (fate === 'inTime') {
			return;
		}

		for (const [reason, share] of attributeLoss(job, {room: this.#room, paces: this.#paces})) {
			slice.reasons.set(reason, (slice.reasons.get(reason) ?? 0) + share);
		}
	}

	#sliceOf({queue, firstAcceptedAt}: JobTrace): SliceLosses {
		const since = firstAcceptedAt - (this.#beginning ?? firstAcceptedAt);
		const fromMilliseconds = Math.floor(since / this.sliceMilliseconds) * this.sliceMilliseconds;
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
