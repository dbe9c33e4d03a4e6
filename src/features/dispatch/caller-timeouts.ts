/** Typical caller timeouts by queue. */
import type {ProfileName} from '../../base/profile-name.js';
import {TypicalTimeout} from './typical-timeout.js';

/** Learns the timeouts in memory; to keep them across restarts, read `typical` and pass it to `seed`. */
export class CallerTimeouts {
	readonly #queues = new Map<ProfileName, TypicalTimeout>();

	/** The typical timeout of each queue that has enough samples, in milliseconds. */
	get typical(): ReadonlyMap<ProfileName, number> {
		const known = new Map<ProfileName, number>();
		for (const [queue, {milliseconds}] of this.#queues) {
			if (milliseconds !== undefined) {
				known.set(queue, milliseconds);
			}
		}

		return known;
	}

	/** Sets the typical timeout of a queue that has none yet. */
	seed(queue: ProfileName, milliseconds: number): void {
		this.#of(queue).seed(milliseconds);
	}

	/**
	 * Records a caller's timeout and returns a lower bound of the job's age in milliseconds, or 0 if the queue has too few
	 * samples.
	 */
	estimateAge(queue: ProfileName, timeoutMilliseconds: number, now: number): number {
		const timeout = this.#of(queue);
		const ageMilliseconds = timeout.ageOf(timeoutMilliseconds);
		timeout.record(timeoutMilliseconds, now);
		return ageMilliseconds;
	}

	#of(queue: ProfileName): TypicalTimeout {
		const known = this.#queues.get(queue) ?? new TypicalTimeout();
		this.#queues.set(queue, known);
		return known;
	}
}
