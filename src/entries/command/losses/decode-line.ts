/** Parses one line of a log. */
import {eventCatalogue} from '../../../runtime/journal/event-catalogue.js';
import type {LogLine} from '../log-line.js';
import type {UnreadableLines} from './unreadable-lines.js';

/**
 * Returns the event, or the reason why the line is not one. Skips any prefix that a log collector put before the JSON object.
 * Checks the fields without a schema, since logs can have millions of lines.
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
		// The caller reports the line as unreadable.
		return undefined;
	}
}
