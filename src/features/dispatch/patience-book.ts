/** How long callers usually wait, by queue. */
import type {ProfileName} from '../../base/profile-name.js';
import {UsualPatience} from './usual-patience.js';

/** What is learned here outlives the process only where somebody reads it from here and tells it to the next one. */
export class PatienceBook {
	readonly #queues = new Map<ProfileName, UsualPatience>();

	/** The usual time of each queue of which it is known, in milliseconds. */
	get usual(): ReadonlyMap<ProfileName, number> {
		const known = new Map<ProfileName, number>();
		for (const [queue, {usual}] of this.#queues) {
			if (usual !== undefined) {
				known.set(queue, usual);
			}
		}

		return known;
	}

	adopt(queue: ProfileName, usualMilliseconds: number): void {
		this.#of(queue).adopt(usualMilliseconds);
	}

	/** How old a job is that is submitted now by a caller who states so much patience: at least, and 0 where nothing is known. */
	ageOf(queue: ProfileName, patienceMilliseconds: number, now: number): number {
		const patience = this.#of(queue);
		const {usual} = patience;
		patience.record(patienceMilliseconds, now);
		return usual === undefined ? 0 : Math.max(0, usual - patienceMilliseconds);
	}

	#of(queue: ProfileName): UsualPatience {
		const known = this.#queues.get(queue) ?? new UsualPatience();
		this.#queues.set(queue, known);
		return known;
	}
}
