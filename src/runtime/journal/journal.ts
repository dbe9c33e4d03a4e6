/** The numbered log of decisions. */
import type {EventName} from './event-name.js';
import type {EventFields} from './event-fields.js';

/** Writes one line for each decision; docs/EVENTS.md lists the events and their fields. */
export abstract class Journal {
	abstract record(event: EventName, fields: EventFields): void;
}
