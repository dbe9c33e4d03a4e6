/** What logs tell of one job. */
import type {LogLine} from '../log-line.js';
import type {Attempt} from './attempt.js';

/** How a job ended for its caller. */
type JobEnd = {readonly at: number; readonly verdict: string; readonly detail: string};

/** Collects the lines of one job, over all lives in which it was submitted. */
export class JobTrace {
	readonly queue: string;
	readonly firstAcceptedAt: number;
	/** When it was accepted in the life that counts. */
	acceptedAt: number;
	readonly taskCount: number;
	/** Absent in logs of versions that did not tell it. */
	readonly objectiveMilliseconds: number | undefined;
	readonly expectedMilliseconds: number;
	readonly patienceMilliseconds: number;
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
		this.patienceMilliseconds = Number(fields.patienceMilliseconds);
	}

	/** Attempts of each task that was begun, in their order. */
	get tasks(): ReadonlyArray<readonly Attempt[]> {
		return [...this.#tasks.values()].map(attempts => [...attempts.values()].sort((left, right) => left.number - right.number));
	}

	/** The job was submitted again: what was begun before counts no more. */
	acceptAgain(at: number): void {
		this.acceptedAt = at;
		this.end = undefined;
		this.#tasks.clear();
	}

	/** Takes a line that names one of its tasks. */
	take({event, at, fields}: LogLine): void {
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
