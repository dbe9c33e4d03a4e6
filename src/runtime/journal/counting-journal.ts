/** A journal that also counts. */
import type {Metrics} from '../metrics/metrics.js';
import type {EventFields} from './event-fields.js';
import type {EventName} from './event-name.js';
import {Journal} from './journal.js';

/** The fields of events that hold a duration, and those that tell kinds of its events apart. */
const timed: Partial<Record<EventName, {readonly duration: string; readonly kind: string}>> = {
	jobEnded: {duration: 'tookMilliseconds', kind: 'verdict'},
	runEnded: {duration: 'ranMilliseconds', kind: 'outcome'},
};

/** Counts each event, and the durations that some carry, before it passes them on: logs and metrics can't disagree. */
export class CountingJournal extends Journal {
	readonly #tags = new Map<string, Readonly<Record<string, string>>>();

	constructor(private readonly inner: Journal, private readonly metrics: Metrics) {
		super();
	}

	override record(event: EventName, fields: EventFields): void {
		this.inner.record(event, fields);
		this.metrics.count('events', 1, this.#tagsOf('event', event));
		const timing = timed[event];
		if (timing !== undefined) {
			this.metrics.timing(event, Number(fields[timing.duration]), this.#tagsOf(timing.kind, String(fields[timing.kind])));
		}
	}

	/** The same object for the same tag, by which metrics find the name that they have made of it. */
	#tagsOf(name: string, value: string): Readonly<Record<string, string>> {
		const key = `${name}=${value}`;
		const tags = this.#tags.get(key) ?? {[name]: value};
		this.#tags.set(key, tags);
		return tags;
	}
}
