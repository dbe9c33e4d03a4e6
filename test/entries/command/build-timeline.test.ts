/** Timelines from the logs of two entries. */
import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {test} from 'node:test';
import {buildTimeline} from '../../../src/entries/command/build-timeline.js';
import {readLogLines} from '../../../src/entries/command/read-log-lines.js';
import {createSnapshotMatcher} from '../../support/create-snapshot-matcher.js';

const matchesSnapshot = createSnapshotMatcher(import.meta.url);

function logOf(...events: ReadonlyArray<Readonly<Record<string, unknown>>>): Readable {
	return Readable.from(events.map(event => `${JSON.stringify({
		ms: 1, number: 1, level: 'detail', ...event,
	})}\n`));
}

test('a timeline contains the job\'s lines and related events of the targets and entries involved, ordered by time', async () => {
	const job = '5c0e7a21d94b36f8';
	const task = `${job}.0.0.1`;
	const first = await readLogLines('entry-1.log', logOf(
		{
			at: 1000, event: 'jobAccepted', job, queue: 'q', tasks: 2,
		},
		{
			at: 1001, event: 'taskSent', task, attempt: 1, owner: 'entry-2#1',
		},
		{
			at: 1001, event: 'taskSent', task: '0000000000000000.0.0.0', attempt: 1, owner: 'entry-2#1',
		},
		{
			at: 1400, event: 'poolMemberLost', member: 'entry-2#1', cause: 'silent for 812 ms',
		},
		{
			at: 1400, event: 'poolMemberLost', member: 'entry-9#1', cause: 'silent for 812 ms',
		},
		{
			at: 1400, event: 'jobEnded', job, verdict: 'mayHaveRun', detail: 'executorLost: entry-2#1 is lost',
		},
		{at: 9000, event: 'poolMemberMet', member: 'entry-2#1'},
	));
	const second = await readLogLines('entry-2.log', logOf(
		{
			at: 1002, event: 'runStarted', task, attempt: 1, target: 'i-1', requester: 'entry-1#1',
		},
		{
			at: 1100, event: 'targetSilent', target: 'i-1', kind: 'unanswered',
		},
		{at: 1390, event: 'processPaused', milliseconds: 700},
	));
	matchesSnapshot('timeline', buildTimeline([...first, ...second], job));
	assert.deepEqual(buildTimeline([...first, ...second], 'ffffffffffffffff'), []);
});

test('lines of other programs and truncated lines are ignored', async () => {
	const input = Readable.from(['starting\n', 'collector 12:00 {"at":5,"event":"edgeStarted","instance":"a"}\n', '{"at":6,"event":"edgeSt']);
	const lines = await readLogLines('-', input);
	assert.deepEqual(lines.map(line => line.event), ['edgeStarted']);
});
