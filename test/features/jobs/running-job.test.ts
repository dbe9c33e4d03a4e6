/** Execution of a job with fake slots and targets. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as turn} from 'node:timers/promises';
import {CancellationSource} from '../../../src/base/cancellation-source.js';
import type {SubmissionId} from '../../../src/base/submission-id.js';
import {RunningJob} from '../../../src/features/jobs/running-job.js';
import {FakeClock} from '../../support/fake-clock.js';
import {FakeSlotClient} from '../../support/fake-slot-client.js';
import {FakeTargetDriver} from '../../support/fake-target-driver.js';
import {createJobDependencies} from '../../support/create-job-dependencies.js';
import {createProfileRevision} from '../../support/create-profile-revision.js';
import {createSnapshotMatcher} from '../../support/create-snapshot-matcher.js';

const matchSnapshot = createSnapshotMatcher(import.meta.url);

function jobOf(tasks: number, keys: Record<string, unknown> = {}, isGenerous = true) {
	const clock = new FakeClock();
	const slots = new FakeSlotClient(isGenerous);
	const driver = new FakeTargetDriver();
	const tools = createJobDependencies(clock, slots, driver);
	const source = new CancellationSource();
	const job = new RunningJob({
		id: 'job' as SubmissionId,
		revision: createProfileRevision(keys),
		tasks: Array.from({length: tasks}, () => ({payload: 'work'})),
		deadlineAt: clock.now() + 5000,
	}, tools);
	return {
		clock, slots, driver, tools, source, verdict: job.run(source.token),
	};
}

test('a complete job has one result for each task, in the order of submission', async () => {
	const {driver, verdict} = jobOf(3);
	driver.succeed(2, 'third');
	driver.succeed(0, 'first');
	driver.succeed(1, 'second');
	matchSnapshot('complete job', await verdict);
});

test('a failed task fails the job, and no partial results are returned', async () => {
	const {driver, verdict} = jobOf(3);
	driver.succeed(0, 'first');
	driver.succeed(1, 'second');
	driver.fail(2);
	matchSnapshot('third task fails', await verdict);
});

test('a failed job stops its running tasks immediately', async () => {
	const {driver, slots, verdict} = jobOf(3);
	driver.fail(1);
	matchSnapshot('stops the rest', await verdict);
	await turn();
	assert.deepEqual(slots.released.map(release => release.outcome), ['failure', 'unused', 'unused']);
});

test('a task whose target dies is reported as possibly run and is not restarted', async () => {
	// Guards against running a task twice when the connection breaks after the start.
	const {driver, slots, verdict} = jobOf(1);
	driver.lose(0);
	matchSnapshot('target dies', await verdict);
	assert.equal(driver.startsOf('job/0'), 1);
	assert.deepEqual(slots.released, [{ticket: 'job/0:0', outcome: 'lost'}]);
});

test('a task that a target refused is retried on another one', async () => {
	const {driver, slots, verdict} = jobOf(1);
	driver.refuse(0);
	await turn();
	driver.succeed(1, 'done');
	matchSnapshot('refused once', await verdict);
	assert.deepEqual(slots.requested[1]!.task.excluded, ['target-1']);
});

test('retries stop at the limit of the profile, and the job is reported as not run', async () => {
	const {driver, verdict} = jobOf(1, {retries: 1});
	driver.refuse(0);
	await turn();
	driver.refuse(1);
	matchSnapshot('refused twice', await verdict);
	assert.equal(driver.starts.length, 2);
});

test('a refused task of a started job fails the job, which is not reported as not run', async () => {
	const {driver, verdict} = jobOf(2, {retries: 0});
	driver.succeed(0, 'first');
	await turn();
	driver.refuse(1);
	matchSnapshot('begun and refused', await verdict);
});

test('a job that its zone refuses is tried in one other zone, then refused', async () => {
	const {slots, verdict} = jobOf(2, {}, false);
	const refusal = {cause: 'deadlineUnreachable', detail: 'too late', retryAfterMilliseconds: 700} as const;
	slots.refuse(slots.requested[0]!.task.ticket, refusal);
	assert.equal(slots.requested[2]!.zone, 'zone-2');
	slots.refuse(slots.requested[2]!.task.ticket, refusal);
	matchSnapshot('refused by both zones', await verdict);
});

test('cancelling a waiting job starts none of its tasks', async () => {
	const {slots, driver, source, verdict} = jobOf(2, {}, false);
	source.cancel();
	matchSnapshot('cancelled while waiting', await verdict);
	assert.deepEqual([driver.starts.length, slots.withdrawn.length], [0, 2]);
});

test('cancelling a running job stops it at the target and reports that it may have run', async () => {
	const {slots, source, verdict} = jobOf(1);
	source.cancel();
	matchSnapshot('cancelled while running', await verdict);
	await turn();
	assert.deepEqual(slots.released, [{ticket: 'job/0:0', outcome: 'unused'}]);
});

test('a slot granted after the job has ended is released unused', async () => {
	const {slots, driver, source, verdict} = jobOf(1, {}, false);
	const {listener, task} = slots.requested[0]!;
	source.cancel();
	await verdict;
	listener.onDidGrant({ticket: task.ticket, target: {id: 'target-1' as never, address: '127.0.0.1:1'}});
	assert.equal(driver.starts.length, 0);
	assert.deepEqual(slots.released, [{ticket: 'job/0:0', outcome: 'unused'}]);
});

test('a task is not started if its slot is found after a pause past the deadline', async () => {
	// Guards against starting a task whose caller is told that the deadline has passed.
	const {clock, slots, driver, verdict} = jobOf(1, {}, false);
	clock.sleep(6000);
	slots.grant(slots.requested[0]!.task.ticket);
	matchSnapshot('woken after the deadline', await verdict);
	assert.equal(driver.starts.length, 0);
});

test('a job that the variant refuses runs once on the base targets', async () => {
	const {slots, driver, verdict} = jobOf(1, {variant: {label: 'canary', share: 1}}, false);
	const first = slots.requested[0]!.task;
	assert.deepEqual(first.labels, ['canary']);
	slots.refuse(first.ticket, {cause: 'noTarget', detail: 'no canary'});
	const second = slots.requested[1]!.task;
	assert.deepEqual([second.labels, second.avoided], [[], ['canary']]);
	slots.grant(second.ticket);
	driver.succeed(0, 'done');
	matchSnapshot('variant refuses', await verdict);
	assert.equal(driver.starts.length, 1);
});
