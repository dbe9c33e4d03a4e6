/** A journal for assertions on recorded events. */
import type {EventFields} from '../../src/runtime/journal/event-fields.js';
import type {EventName} from '../../src/runtime/journal/event-name.js';
import {Journal} from '../../src/runtime/journal/journal.js';

/** Keeps all events in order. */
export class RecordingJournal extends Journal {
	readonly events: Array<{readonly event: EventName; readonly fields: EventFields}> = [];

	override record(event: EventName, fields: EventFields): void {
		this.events.push({event, fields});
	}

	/** Returns the fields of each event with the given name. */
	named(event: EventName): readonly EventFields[] {
		return this.events.filter(entry => entry.event === event).map(entry => entry.fields);
	}
}
