/** Reads several logs as one, in the order of time. */
import type {Readable} from 'node:stream';
import {createInterface} from 'node:readline';
import type {LogLine} from '../log-line.js';
import {decodeLine} from './decode-line.js';
import type {UnreadableLines} from './unreadable-lines.js';

/** Entries write their lines ten times a second: in a log of several entries a line is out of order by no more than this. */
const disorderMilliseconds = 1000;
/** Lines are sorted in bulk. */
const sortedAtOnce = 2000;

type Source = {readonly name: string; readonly input: Readable};
type Cursor = {readonly lines: AsyncIterator<LogLine>; next: LogLine | undefined};

/** Unreadable lines are counted by kind. Each log is held back by a second of its lines. */
export async function * mergeLogs(sources: readonly Source[], unreadable: UnreadableLines): AsyncGenerator<LogLine> {
	const cursors = await Promise.all(sources.map(async source => cursorOf(sorted(source, unreadable))));
	for (;;) {
		const first = earliestOf(cursors);
		if (first?.next === undefined) {
			return;
		}

		yield first.next;
		await advance(first);
	}
}

async function cursorOf(lines: AsyncIterator<LogLine>): Promise<Cursor> {
	const cursor: Cursor = {lines, next: undefined};
	await advance(cursor);
	return cursor;
}

async function advance(cursor: Cursor): Promise<void> {
	const result: IteratorResult<LogLine, unknown> = await cursor.lines.next();
	cursor.next = result.done === true ? undefined : result.value;
}

function earliestOf(cursors: readonly Cursor[]): Cursor | undefined {
	let earliest: Cursor | undefined;
	for (const cursor of cursors) {
		if (cursor.next !== undefined && (earliest?.next === undefined || cursor.next.at < earliest.next.at)) {
			earliest = cursor;
		}
	}

	return earliest;
}

async function * sorted({name, input}: Source, unreadable: UnreadableLines): AsyncGenerator<LogLine> {
	let held: LogLine[] = [];
	for await (const text of createInterface({input})) {
		const line = decodeLine(name, text);
		if (typeof line === 'string') {
			unreadable[line] += 1;
			continue;
		}

		held.push(line);
		if (held.length >= sortedAtOnce) {
			held.sort((left, right) => left.at - right.at);
			const settled = held.at(-1)!.at - disorderMilliseconds;
			const count = held.findIndex(({at}) => at > settled);
			yield * held.slice(0, count);
			held = held.slice(count);
		}
	}

	yield * held.sort((left, right) => left.at - right.at);
}
