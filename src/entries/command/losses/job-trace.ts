/** State of one job, reconstructed from logs. */
import type {LogLine} from '../log-line.js';
import type {Attempt} from './attempt.js';

/** The final log line of a job. */
type JobEnd = {readonly at: number; readonly verdict: string; readonly detail: string};

/** Collects the log lines of one job over all of its submissions. */
export class JobTrace {
	readonly queue: string;
	readonly firstAcceptedAt: number;
	/** When the latest submission was accepted. */
	acceptedAt: number;
	readonly taskCount: number;
	/** Undefined in logs of older versions. */
	readonly objectiveMilliseconds: number | undefined;
	readonly expectedMilliseconds: number;
	readonly callerTimeoutMilliseconds: number;
	end: JobEnd | undefined;
	readonly #tasks = new Map<string, Map<number, Attempt>>();

	constructor(readonly id: string, accepted: LogLine) {
		const {fields} = accepted;
		this.queue = String(fields.queue);
		this.firstAcceptedAt = accepted.at;
		this.acceptedAt = accepted.at;
		this.taskCount = Number(fields.tasks);
		this.objectiveMilliseconds = typeof fields.objectiveMilliseconds === 'number' ? fields.objectiveMilliseconds : undefined;
		this.expectedMilliseconds = Number(fields.expectedMilliseconds);
		this.callerTimeoutMilliseconds = Number(fields.patienceMilliseconds);
	}

	/** The attempts of each started task, by number. */
	get tasks(): ReadonlyArray<readonly Attempt[]> {
		return [...this.#tasks.values()].map(attempts => [...attempts.values()].sort((left, right) => left.number - right.number));
	}

	/** Starts over with a new submission, and discards the attempts of the previous one. */
	resubmit(at: number): void {
		this.acceptedAt = at;
		this.end = undefined;
		this.#tasks.clear();
	}

	/** Adds a line that names one of the job's tasks. */
	addTaskLine({event, at, fields}: LogLine): void {
		const attempt = this.#attemptOf(String(fields.task), Number(fields.attempt));
		switch (event) {
			case 'taskSent': {
				attempt.sentAt = at;
				return;
			}

			case 'runStarted': {
				attempt.startedAt = at;
				attempt.target = String(fields.target);
				attempt.cpuMillis = typeof fields.cpuMillis === 'number' ? fields.cpuMillis : undefined;
				return;
			}

			case 'runStopped': {
				attempt.stopCause = String(fields.cause);
				return;
			}

			case 'runRefused': {
				attempt.endedAt = at;
				attempt.outcome = 'refused';
				return;
			}

			case 'runEnded': {
				attempt.endedAt = at;
				attempt.outcome = String(fields.outcome);
				attempt.cause = typeof fields.cause === 'string' ? fields.cause : undefined;
				break;
			}

			default: {
				break;
			}
		}
	}

	#attemptOf(task: string, number: number): Attempt {
		const attempts = this.#tasks.get(task) ?? new Map<number, Attempt>();
		this.#tasks.set(task, attempts);
		const attempt = attempts.get(number) ?? {number};
		attempts.set(number, attempt);
		return attempt;
	}
}
