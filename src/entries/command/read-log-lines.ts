/** Reads the events of one log. */
import type {Readable} from 'node:stream';
import {createInterface} from 'node:readline';
import * as z from 'zod';
import type {LogLine} from './log-line.js';

const lineSchema = z.looseObject({at: z.number(), event: z.string()});

/** All lines that are events. Other lines are ignored. */
export async function readLogLines(source: string, input: Readable): Promise<readonly LogLine[]> {
	const lines: LogLine[] = [];
	for await (const text of createInterface({input})) {
		const line = decode(text);
		if (line !== undefined) {
			const {at, event, ms, number, level, ...fields} = line;
			lines.push({
				source, at, event, fields,
			});
		}
	}

	return lines;
}

/** Skips any prefix that a log collector put before the JSON object. */
function decode(text: string): z.output<typeof lineSchema> | undefined {
	const begin = text.indexOf('{');
	if (begin === -1) {
		return undefined;
	}

	try {
		const checked = lineSchema.safeParse(JSON.parse(text.slice(begin)));
		return checked.success ? checked.data : undefined;
	} catch {
		// Output of another program, or a truncated line.
		return undefined;
	}
}
