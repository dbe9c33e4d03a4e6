/** Merges several logs into one, ordered by time. */
import type {Readable} from 'node:stream';
import {createInterface} from 'node:readline';
import type {LogLine} from '../log-line.js';
import {decodeLine} from './decode-line.js';
import type {UnreadableLines} from './unreadable-lines.js';

/** The most by which a line can be out of order in a file that combines several logs. */
const maxDisorderMilliseconds = 1000;
/** Number of buffered lines at which a log is sorted. */
const sortThreshold = 2000;

type Source = {readonly name: string; readonly input: Readable};
type Cursor = {readonly lines: AsyncIterator<LogLine>; next: LogLine | undefined};

/** Yields the events of all logs, and counts unreadable lines by kind. Buffers the last second of each log to restore its order. */
export async function * mergeLogs(sources: readonly Source[], unreadable: UnreadableLines): AsyncGenerator<LogLine> {
	const cursors = await Promise.all(sources.map(async source => openCursor(sortLines(source, unreadable))));
	for (;;) {
		const first = findEarliest(cursors);
		if (first?.next === undefined) {
			return;
		}

		yield first.next;
		await advance(first);
	}
}

async function openCursor(lines: AsyncIterator<LogLine>): Promise<Cursor> {
	const cursor: Cursor = {lines, next: undefined};
	await advance(cursor);
	return cursor;
}

async function advance(cursor: Cursor): Promise<void> {
	const result: IteratorResult<LogLine, unknown> = await cursor.lines.next();
	cursor.next = result.done === true ? undefined : result.value;
}

function findEarliest(cursors: readonly Cursor[]): Cursor | undefined {
	let earliest: Cursor | undefined;
	for (const cursor of cursors) {
		if (cursor.next !== undefined && (earliest?.next === undefined || cursor.next.at < earliest.next.at)) {
			earliest = cursor;
		}
	}

	return earliest;
}

async function * sortLines({name, input}: Source, unreadable: UnreadableLines): AsyncGenerator<LogLine> {
	let buffer: LogLine[] = [];
	for await (const text of createInterface({input})) {
		const line = decodeLine(name, text);
		if (typeof line === 'string') {
			unreadable[line] += 1;
			continue;
		}

		buffer.push(line);
		if (buffer.length >= sortThreshold) {
			buffer.sort((left, right) => left.at - right.at);
			const orderedUntil = buffer.at(-1)!.at - maxDisorderMilliseconds;
			const count = buffer.findIndex(({at}) => at > orderedUntil);
			yield * buffer.slice(0, count);
			buffer = buffer.slice(count);
		}
	}

	yield * buffer.sort((left, right) => left.at - right.at);
}
