/** A journal that writes through the `debug` package. */
import createDebug from 'debug';
import {eventCatalogue} from './event-catalogue.js';
import type {EventFields} from './event-fields.js';
import type {EventName} from './event-name.js';
import {Journal} from './journal.js';

const root = createDebug('savorylock');

/**
 * Writes `number name {json}` under the namespace `savorylock:LEVEL`; the DEBUG variable selects levels.
 * Without DEBUG set, notices, warnings and alarms are on, and details are off.
 */
export class DebugJournal extends Journal {
	readonly #writers = {
		detail: root.extend('detail'),
		notice: root.extend('notice'),
		warning: root.extend('warning'),
		alarm: root.extend('alarm'),
	};

	override record(event: EventName, fields: EventFields): void {
		const {number, level} = eventCatalogue[event];
		const write = this.#writers[level];
		if (write.enabled) {
			write('%d %s %s', number, event, JSON.stringify(fields));
		}
	}
}
