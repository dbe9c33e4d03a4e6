/** When waiting jobs are looked at. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {JobTable} from './job-table.js';

/** Jobs are looked at no later than this after the first of them is to be given up, and no more often. */
const checkMilliseconds = 20;
/** Unless one falls due sooner. */
const longestCheckMilliseconds = 200;

/** Calls back while there are jobs, when the first of them falls due, which may be sooner than it was. */
export class ExpiryTimer implements Disposable {
	#timer: Disposable | undefined;
	#due = 0;

	constructor(private readonly jobs: JobTable, private readonly clock: Clock, private readonly check: () => void) {}

	/** Sets the next look; jobs have come, or fall due at other times than before. */
	schedule(): void {
		const due = this.clock.now() + this.#untilDue();
		if (this.#timer !== undefined && due >= this.#due) {
			return;
		}

		this.#timer?.dispose();
		this.#due = due;
		this.#timer = this.clock.schedule(due - this.clock.now(), () => {
			this.#timer = undefined;
			this.check();
			if (this.jobs.size > 0) {
				this.schedule();
			}
		});
	}

	dispose(): void {
		this.#timer?.dispose();
	}

	#untilDue(): number {
		const now = this.clock.now();
		let until = longestCheckMilliseconds;
		for (const job of this.jobs) {
			until = Math.min(until, job.expiresAt - now);
		}

		return Math.max(checkMilliseconds, until);
	}
}
