/** Counts the runs that ended on this entry's targets. */
import type {ServiceName} from '../../base/service-name.js';

const intervalMilliseconds = 250;
const intervals = 4;

/** Counts by interval; `index` is the number of the latest interval since the clock's origin. */
type Counts = {index: number; readonly ended: number[]};

/** Counts in a ring of short intervals, which bounds the memory at any rate. */
export class EndedTasks {
	readonly #services = new Map<ServiceName, Counts>();

	/** Records the end of a run at a monotonic time in milliseconds. */
	record(service: ServiceName, now: number): void {
		const counts = this.#advance(service, now);
		counts.ended[counts.index % intervals]! += 1;
	}

	/** How many runs ended in a second, by those of the last 0.75 to 1 s. */
	perSecond(service: ServiceName, now: number): number {
		if (!this.#services.has(service)) {
			return 0;
		}

		const ended = this.#advance(service, now).ended.reduce((sum, count) => sum + count, 0);
		const milliseconds = ((intervals - 1) * intervalMilliseconds) + (now % intervalMilliseconds);
		return Math.round(ended * 1000 / milliseconds);
	}

	#advance(service: ServiceName, now: number): Counts {
		const index = Math.floor(now / intervalMilliseconds);
		const counts = this.#services.get(service) ?? {index, ended: Array.from({length: intervals}, () => 0)};
		this.#services.set(service, counts);
		for (let passed = Math.max(counts.index, index - intervals); passed < index; passed += 1) {
			counts.ended[(passed + 1) % intervals] = 0;
		}

		counts.index = Math.max(counts.index, index);
		return counts;
	}
}
