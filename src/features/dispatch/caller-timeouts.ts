/** How long callers usually wait, by queue. */
import type {ProfileName} from '../../base/profile-name.js';
import {TypicalTimeout} from './typical-timeout.js';

/** What is learned here outlives the process only where somebody reads it from here and tells it to the next one. */
export class CallerTimeouts {
	readonly #queues = new Map<ProfileName, TypicalTimeout>();

	/** The usual time of each queue of which it is known, in milliseconds. */
	get typical(): ReadonlyMap<ProfileName, number> {
		const known = new Map<ProfileName, number>();
		for (const [queue, {milliseconds: usual}] of this.#queues) {
			if (usual !== undefined) {
				known.set(queue, usual);
			}
		}

		return known;
	}

	seed(queue: ProfileName, usualMilliseconds: number): void {
		this.#of(queue).seed(usualMilliseconds);
	}

	/** How old a job is that is submitted now by a caller who states so much patience: at least, and 0 where nothing is known. */
	estimateAge(queue: ProfileName, patienceMilliseconds: number, now: number): number {
		const patience = this.#of(queue);
		const {milliseconds: usual} = patience;
		patience.record(patienceMilliseconds, now);
		return usual === undefined ? 0 : Math.max(0, usual - patienceMilliseconds);
	}

	#of(queue: ProfileName): TypicalTimeout {
		const known = this.#queues.get(queue) ?? new TypicalTimeout();
		this.#queues.set(queue, known);
		return known;
	}
}
