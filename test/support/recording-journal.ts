/** A journal that a test can read. */
import type {EventFields} from '../../src/runtime/journal/event-fields.js';
import type {EventName} from '../../src/runtime/journal/event-name.js';
import {Journal} from '../../src/runtime/journal/journal.js';

/** Keeps every event in order. */
export class RecordingJournal extends Journal {
	readonly events: Array<{readonly event: EventName; readonly fields: EventFields}> = [];

	override record(event: EventName, fields: EventFields): void {
		this.events.push({event, fields});
	}

	named(event: EventName): readonly EventFields[] {
		return this.events.filter(entry => entry.event === event).map(entry => entry.fields);
	}
}
