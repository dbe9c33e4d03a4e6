/** Each invariant, on a record that satisfies it and on one that violates it. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {allInvariants} from '../../soak/all-invariants.js';
import type {Attempt} from '../../soak/attempt.js';
import type {SoakRecord} from '../../soak/soak-record.js';
import type {RunEvent} from '../../standins/worker/run-event.js';

const id = '0000000000000001';
const task = `${id}.0.0.0`;

function attemptOf(outcome: Attempt['outcome'], {entry = 'a', sentAt = 1000, endedAt = 1200} = {}): Attempt {
	return {
		entry, life: 1, sentAt, endedAt, outcome,
	};
}

function eventOf(kind: RunEvent['kind'], at: number, {worker = 'i-1', how = kind === 'end' ? 'done' : '', of = task, payload = '50', attempt = 1} = {}): RunEvent {
	return {
		at, worker, kind, how, task: of, attempt, payload,
	};
}

const complete = {kind: 'answer', status: 200, state: 'complete'} as const;

/** One job of one task, answered after its run. */
function recordOf(changes: Partial<SoakRecord> = {}): SoakRecord {
	return {
		jobs: [{
			id, tasks: 1, payload: '50', attempts: [attemptOf(complete)],
		}],
		runs: [eventOf('start', 1050), eventOf('end', 1100)],
		probes: [],
		publications: [],
		disturbances: [],
		drains: [],
		exits: [],
		defects: [],
		runsAcrossBundles: 0,
		leftovers: [],
		healedAt: 0,
		...changes,
	};
}

function jobOf(...attempts: Attempt[]): SoakRecord['jobs'] {
	return [{
		id, tasks: 1, payload: '50', attempts,
	}];
}

function probeOf(sentAt: number, status: number, prefix = '/one/') {
	return {
		entry: 'a', life: 1, prefix, sentAt, status,
	};
}

function disturbanceOf(kind: string, from: number, to: number, {entry = undefined as string | undefined, isPlanned = false, isOfStore = false} = {}) {
	return {
		kind, entry, isPlanned, isOfStore, from, to,
	};
}

const publications = [
	{version: 3, ackedAt: 0, prefixes: new Set(['/base/'])},
	{version: 6, ackedAt: 10_000, prefixes: new Set(['/base/', '/one/'])},
];

/** Run events of a task that crashes the given number of workers and then succeeds. */
function crashesOf(count: number): readonly RunEvent[] {
	const crashes = Array.from({length: count}, (_, index) => [
		eventOf('start', 1010 + index, {attempt: index + 1}), eventOf('end', 1011 + index, {how: 'crashed', attempt: index + 1}),
	]);
	return [...crashes.flat(), eventOf('start', 1050, {attempt: count + 1}), eventOf('end', 1100, {attempt: count + 1})];
}

/** The names of the invariants that a record violates. */
function violatedBy(record: SoakRecord): readonly string[] {
	return allInvariants.filter(invariant => invariant.violations(record).length > 0).map(({name}) => name);
}

test('a record that satisfies every invariant violates none', () => {
	assert.deepEqual(violatedBy(recordOf()), []);
});

const violatingRecords: ReadonlyArray<readonly [name: string, violated: string, record: SoakRecord]> = [
	['two concurrent runs of a task', 'no task runs twice at the same time', recordOf({
		runs: [eventOf('start', 1050), eventOf('start', 1060, {worker: 'i-2', attempt: 2}), eventOf('end', 1100), eventOf('end', 1110, {worker: 'i-2', attempt: 2})],
	})],
	['a rejected job that started', 'a rejected job has not run', recordOf({jobs: jobOf(attemptOf({kind: 'answer', status: 429, state: undefined}))})],
	['a complete answer before the task ended', 'an answer agrees with the run events of its job', recordOf({runs: [eventOf('start', 1050), eventOf('end', 1300)]})],
	['a failed answer without failed tasks', 'an answer agrees with the run events of its job', recordOf({jobs: jobOf(attemptOf({kind: 'answer', status: 200, state: 'failed'}))})],
	['a task that no caller submitted', 'workers start only tasks that callers submitted', recordOf({
		runs: [...recordOf().runs, eventOf('start', 1050, {of: '0000000000000002.0.0.0'}), eventOf('end', 1060, {of: '0000000000000002.0.0.0'})],
	})],
	['a changed payload', 'workers start only tasks that callers submitted', recordOf({runs: [eventOf('start', 1050, {payload: '51'}), eventOf('end', 1100)]})],
	['an unexpected exit', 'no process exits unexpectedly and no task is orphaned', recordOf({exits: ['a ended']})],
	['an unhandled error', 'no process exits unexpectedly and no task is orphaned', recordOf({defects: ['a: errorUnhandled']})],
	['an orphaned task', 'no process exits unexpectedly and no task is orphaned', recordOf({leftovers: [task]})],
	['a new route that is missing', 'a configuration change applies in time and is never reverted', recordOf({publications, probes: [probeOf(12_500, 404)]})],
	['a route that is reverted', 'a configuration change applies in time and is never reverted', recordOf({publications, probes: [probeOf(11_000, 200), probeOf(11_500, 404)]})],
	['a task for a draining worker', 'a draining worker gets no new tasks after the drain time', recordOf({
		drains: [{worker: 'i-1', ackedAt: 1000}], runs: [eventOf('start', 3100), eventOf('end', 3150)], jobs: jobOf(attemptOf(complete, {sentAt: 3000, endedAt: 3200})),
	})],
	['a request broken by a graceful stop', 'a graceful shutdown breaks no request', recordOf({
		jobs: jobOf(attemptOf({kind: 'broken', detail: 'reset'})), disturbances: [disturbanceOf('entry-stop', 900, 4000, {entry: 'a', isPlanned: true})],
	})],
	['a missing answer', 'a healthy entry answers every caller in time', recordOf({jobs: jobOf(attemptOf({kind: 'expired'}, {endedAt: 2650}))})],
	['no service after the last fault', 'service recovers after the last fault', recordOf({
		jobs: jobOf(attemptOf({kind: 'answer', status: 503, state: undefined}, {sentAt: 20_000, endedAt: 20_100})),
		runs: [],
	})],
	['three starts after three crashes', 'a task that crashes its workers is abandoned', recordOf({runs: crashesOf(5)})],
];

for (const [name, violated, record] of violatingRecords) {
	test(`a soak detects ${name}`, () => {
		assert.deepEqual(violatedBy(record), [violated]);
	});
}

test('effects of an active fault are no violation', () => {
	const cut = disturbanceOf('store-cut', 9000, 12_000, {entry: 'a', isOfStore: true});
	assert.deepEqual(violatedBy(recordOf({publications, probes: [probeOf(12_500, 404)], disturbances: [cut]})), []);
	const killed = disturbanceOf('entry-kill', 900, 1300, {entry: 'a'});
	const stopped = disturbanceOf('entry-stop', 900, 4000, {entry: 'a', isPlanned: true});
	assert.deepEqual(violatedBy(recordOf({jobs: jobOf(attemptOf({kind: 'broken', detail: 'reset'})), disturbances: [stopped, killed]})), []);
	assert.deepEqual(violatedBy(recordOf({jobs: jobOf(attemptOf({kind: 'expired'}, {endedAt: 2650})), disturbances: [killed]})), []);
});

test('a rejected retry after a lost answer is no violation', () => {
	const lost = attemptOf({kind: 'broken', detail: 'reset'});
	assert.deepEqual(violatedBy(recordOf({jobs: jobOf(lost, attemptOf({kind: 'answer', status: 429, state: undefined}))})), []);
});

test('a task that crashed two workers may fail its job, and may start twice more after the third crash', () => {
	const failed = attemptOf({kind: 'answer', status: 200, state: 'failed'});
	const twice = [
		eventOf('start', 1010), eventOf('end', 1020, {how: 'crashed'}), eventOf('start', 1030, {attempt: 2}), eventOf('end', 1040, {how: 'crashed', attempt: 2}),
	];
	assert.deepEqual(violatedBy(recordOf({jobs: jobOf(failed), runs: twice})), []);
	assert.deepEqual(violatedBy(recordOf({jobs: jobOf(failed), runs: twice.slice(0, 2)})), ['an answer agrees with the run events of its job']);
	assert.deepEqual(violatedBy(recordOf({runs: crashesOf(4)})), []);
});
