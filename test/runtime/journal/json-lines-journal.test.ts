/** Lines of the log, as tools for logs read them. */
import assert from 'node:assert/strict';
import {
	closeSync, mkdtempSync, openSync, readFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {SystemClock} from '../../../src/base/system-clock.js';
import {eventCatalogue} from '../../../src/runtime/journal/event-catalogue.js';
import type {EventFields} from '../../../src/runtime/journal/event-fields.js';
import type {EventName} from '../../../src/runtime/journal/event-name.js';
import {JsonLinesJournal} from '../../../src/runtime/journal/json-lines-journal.js';

/** Returns the log text after recording the events. */
async function textOf(events: ReadonlyArray<readonly [EventName, EventFields]>, includesDetails = true): Promise<string> {
	const file = join(mkdtempSync(join(tmpdir(), 'journal-')), 'log');
	const descriptor = openSync(file, 'w');
	const journal = new JsonLinesJournal(new SystemClock(), includesDetails, descriptor);
	for (const [event, fields] of events) {
		journal.record(event, fields);
	}

	await journal.flush();
	closeSync(descriptor);
	return readFileSync(file, 'utf8');
}

// Lines are assembled from parts; a missing or doubled separator would make the whole log unreadable.
test('each line is a JSON object with time, number, name, level and the fields that are present', async () => {
	const text = await textOf([
		['jobEnded', {
			job: 'a"\n', verdict: 'answered', tookMilliseconds: 12.5, isLate: false,
		}],
		['jobEnded', {}],
		['jobEnded', {job: undefined}],
		['runEnded', {task: undefined, outcome: 'done'}],
	]);
	const lines = text.trimEnd().split('\n').map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
	const {jobEnded, runEnded} = eventCatalogue;
	assert.deepEqual(lines.map(({ms, at, ...rest}) => [typeof ms, typeof at, rest]), [
		['number', 'number', {
			number: jobEnded.number, event: 'jobEnded', level: jobEnded.level, job: 'a"\n', verdict: 'answered', tookMilliseconds: 12.5, isLate: false,
		}],
		['number', 'number', {number: jobEnded.number, event: 'jobEnded', level: jobEnded.level}],
		['number', 'number', {number: jobEnded.number, event: 'jobEnded', level: jobEnded.level}],
		['number', 'number', {
			number: runEnded.number, event: 'runEnded', level: runEnded.level, outcome: 'done',
		}],
	]);
	assert.match(text, /^\{"ms":\d+,"at":\d+,"number":\d+,"event":"jobEnded","level":"\w+","job":/v);
});

test('events of the detail level are left out unless requested', async () => {
	assert.equal(await textOf([['jobEnded', {job: 'a'}]], false), '');
});

// A field named like one of the common ones would appear twice in a line, and readers would take the last.
test('no event has a field that is named like one of the common ones', () => {
	const common = new Set(['ms', 'at', 'number', 'event', 'level']);
	const fields = Object.entries(eventCatalogue).flatMap(([name, description]) => description.fields.filter(field => common.has(field)).map(field => `${name}.${field}`));
	assert.deepEqual(fields, []);
});
