/** Reads logs. */
import type {Readable} from 'node:stream';
import {createInterface} from 'node:readline';
import * as z from 'zod';
import type {LogLine} from './log-line.js';

const lineSchema = z.looseObject({at: z.number(), event: z.string()});

/** The lines that are events; whatever else a collector put between them is passed over. */
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

/** A collector may put its own words before the object. */
function decode(text: string): z.output<typeof lineSchema> | undefined {
	const begin = text.indexOf('{');
	if (begin === -1) {
		return undefined;
	}

	try {
		const checked = lineSchema.safeParse(JSON.parse(text.slice(begin)));
		return checked.success ? checked.data : undefined;
	} catch {
		// Not one of ours: another program's line, or one that was cut in the middle.
		return undefined;
	}
}
