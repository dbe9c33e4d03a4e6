/** Structured event logging. */
import type {EventFields} from './event-fields.js';
import type {EventName} from './event-name.js';

/** Records routing, placement and life-cycle events; docs/EVENTS.md lists them with their fields. */
export abstract class Journal {
	/** Records an event without blocking; an event that can't be written is dropped. */
	abstract record(event: EventName, fields: EventFields): void;
}
