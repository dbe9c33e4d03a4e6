/** Schedules expiry checks of jobs. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {JobTable} from './job-table.js';

/** Minimum interval between checks, and the longest delay after the earliest expiry. */
const minimumDelayMilliseconds = 20;
/** Interval of checks while no job expires sooner. */
const maximumDelayMilliseconds = 200;

/** Calls back at the earliest expiry while there are jobs. */
export class ExpiryTimer implements Disposable {
	#timer: Disposable | undefined;
	#due = 0;

	constructor(private readonly jobs: JobTable, private readonly clock: Clock, private readonly callback: () => void) {}

	/** Reschedules the next check after jobs were added or their expiry changed. */
	schedule(): void {
		const now = this.clock.now();
		if (this.#timer !== undefined && this.#due <= now + minimumDelayMilliseconds) {
			// No expiry can bring the pending check forward.
			return;
		}

		const due = now + this.#nextDelay(now);
		if (this.#timer !== undefined && due >= this.#due) {
			return;
		}

		this.#timer?.dispose();
		this.#due = due;
		this.#timer = this.clock.schedule(due - now, () => {
			this.#timer = undefined;
			this.callback();
			if (this.jobs.size > 0) {
				this.schedule();
			}
		});
	}

	dispose(): void {
		this.#timer?.dispose();
	}

	#nextDelay(now: number): number {
		let delay = maximumDelayMilliseconds;
		for (const job of this.jobs) {
			delay = Math.min(delay, job.expiresAt - now);
		}

		return Math.max(minimumDelayMilliseconds, delay);
	}
}
