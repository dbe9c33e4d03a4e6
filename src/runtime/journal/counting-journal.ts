/** A journal that derives metrics from events. */
import type {Metrics} from '../metrics/metrics.js';
import type {EventFields} from './event-fields.js';
import type {EventName} from './event-name.js';
import {Journal} from './journal.js';

/** For each timed event, the field with its duration in milliseconds and the field that becomes the metric's tag. */
const timedEvents: Partial<Record<EventName, {readonly duration: string; readonly tag: string}>> = {
	jobEnded: {duration: 'tookMilliseconds', tag: 'verdict'},
	runEnded: {duration: 'ranMilliseconds', tag: 'outcome'},
};

/** Forwards each event to the inner journal, counts it, and records the duration of timed events. */
export class CountingJournal extends Journal {
	readonly #tags = new Map<string, Readonly<Record<string, string>>>();

	constructor(private readonly inner: Journal, private readonly metrics: Metrics) {
		super();
	}

	override record(event: EventName, fields: EventFields): void {
		this.inner.record(event, fields);
		this.metrics.count('events', 1, this.#tagsOf('event', event));
		const timing = timedEvents[event];
		if (timing !== undefined) {
			this.metrics.timing(event, Number(fields[timing.duration]), this.#tagsOf(timing.tag, String(fields[timing.tag])));
		}
	}

	/** Returns the same object for the same tag, because metrics cache their keys by object identity. */
	#tagsOf(name: string, value: string): Readonly<Record<string, string>> {
		const key = `${name}=${value}`;
		const tags = this.#tags.get(key) ?? {[name]: value};
		this.#tags.set(key, tags);
		return tags;
	}
}
