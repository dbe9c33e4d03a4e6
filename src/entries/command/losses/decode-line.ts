/** Reads one line of a log. */
import {eventCatalogue} from '../../../runtime/journal/event-catalogue.js';
import type {LogLine} from '../log-line.js';
import type {UnreadableLines} from './unreadable-lines.js';

/**
 * The event, or why there is none. A collector may put its own words before the object. By hand, not by schema: a day's logs
 * have a million lines.
 */
export function decodeLine(source: string, text: string): LogLine | keyof UnreadableLines {
	const begin = text.indexOf('{');
	if (begin === -1) {
		return 'notAnEvent';
	}

	const value = parse(text.slice(begin));
	if (value === undefined) {
		return text.includes('"event"') || text.includes('"ms"') ? 'cut' : 'notAnEvent';
	}

	const {at, event, ms, number, level, ...fields} = value;
	if (typeof event !== 'string') {
		return 'notAnEvent';
	}

	return event in eventCatalogue && typeof at === 'number'
		? {
			source, at, event, fields,
		}
		: 'unknownEvent';
}

function parse(text: string): Readonly<Record<string, unknown>> | undefined {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null ? value as Readonly<Record<string, unknown>> : undefined;
	} catch {
		// Counted by its kind.
		return undefined;
	}
}
