/** A journal that derives metrics from events. */
import type {Metrics} from '../metrics/metrics.js';
import type {EventFields} from './event-fields.js';
import type {EventName} from './event-name.js';
import {Journal} from './journal.js';

/** A histogram's name, the field with the duration in milliseconds, which may be absent, and the field that becomes the tag. */
type Timing = {readonly name: string; readonly duration: string; readonly tag: string};

const timedEvents: Partial<Record<EventName, readonly Timing[]>> = {
	jobEnded: [{name: 'jobEnded', duration: 'tookMilliseconds', tag: 'verdict'}],
	runEnded: [
		{name: 'runEnded', duration: 'ranMilliseconds', tag: 'outcome'},
		{name: 'runStopped', duration: 'stopMilliseconds', tag: 'outcome'},
	],
};

/** Forwards each event to the inner journal, counts it, and records the duration of timed events. */
export class CountingJournal extends Journal {
	/** By name and value. */
	readonly #tags = new Map<string, Map<string, Readonly<Record<string, string>>>>();

	constructor(private readonly inner: Journal, private readonly metrics: Metrics) {
		super();
	}

	override record(event: EventName, fields: EventFields): void {
		this.inner.record(event, fields);
		this.metrics.count('events', 1, this.#tagsOf('event', event));
		for (const {name, duration, tag} of timedEvents[event] ?? []) {
			const milliseconds = fields[duration];
			if (milliseconds !== undefined) {
				this.metrics.timing(name, Number(milliseconds), this.#tagsOf(tag, String(fields[tag])));
			}
		}
	}

	/** Returns the same object for the same tag, because metrics cache their keys by object identity. */
	#tagsOf(name: string, value: string): Readonly<Record<string, string>> {
		let byValue = this.#tags.get(name);
		if (byValue === undefined) {
			byValue = new Map();
			this.#tags.set(name, byValue);
		}

		let tags = byValue.get(value);
		if (tags === undefined) {
			tags = {[name]: value};
			byValue.set(value, tags);
		}

		return tags;
	}
}
