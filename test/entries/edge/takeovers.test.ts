/** What the takeovers of resubmitted jobs cost, and what they must not do. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberId} from '../../../src/base/member-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {PooledCluster} from '../../support/pooled-cluster.js';

const names = ['a-1', 'a-2', 'b-1', 'b-2', 'c-1', 'c-2'];
/** Resubmissions are below four fifths of it, so that many of them don't change what is usual. */
const timeoutMilliseconds = 5000;
const resubmittedTimeoutMilliseconds = timeoutMilliseconds - 1300;
const stepMilliseconds = 5;
/** The longest wait for an answer, with a period of its check. */
const longestWaitMilliseconds = 130;

async function createCluster(targetsInZone = 4) {
	const world = new PooledCluster(names, targetsInZone);
	await world.start();
	for (const {callerTimeouts} of world.entries.values()) {
		callerTimeouts.seed('queue' as ProfileName, timeoutMilliseconds);
	}

	await world.advance(1000);
	return world;
}

function framesOf(world: PooledCluster): number {
	return world.network.framesByChannel.get('takeover') ?? 0;
}

/** Submits a job, and returns the time to its first start. */
async function millisecondsToStart(world: PooledCluster, job: string, timeout: number): Promise<number> {
	world.submit('c-1', job, {payload: '1000', declaredMilliseconds: 1000, timeoutMilliseconds: timeout});
	const submittedAt = world.clock.now();
	while (!world.orders.starts.some(({task}) => task.startsWith(job))) {
		await world.advance(stepMilliseconds);
		assert.equal(world.clock.now() - submittedAt < 3000, true, 'the job is never started');
	}

	return world.clock.now() - submittedAt;
}

// Guards against messages for jobs that nobody has submitted before.
test('first submissions send no takeovers', async () => {
	const world = await createCluster();
	for (let index = 0; index < 50; index += 1) {
		world.submit(names[index % names.length]!, `00000000000000${index + 10}`, {timeoutMilliseconds});
		await world.advance(20);
	}

	await world.advance(1000);
	assert.deepEqual([framesOf(world), world.orders.starts.length], [0, 50]);
});

// Guards against a resubmitted job that waits although all peers answer, and against more than one question and answer a peer.
test('a resubmitted job without former runs waits for one round trip', async () => {
	const world = await createCluster();
	const first = await millisecondsToStart(world, '00000000000000aa', timeoutMilliseconds);
	const resubmitted = await millisecondsToStart(world, '00000000000000bb', resubmittedTimeoutMilliseconds);
	assert.deepEqual([framesOf(world), resubmitted - first <= 2 * stepMilliseconds], [2 * (names.length - 1), true]);
});

// Guards against messages in proportion to the jobs when an outage makes many callers resubmit at the same time.
test('takeovers of a storm of resubmissions share their messages', async () => {
	const world = await createCluster(16);
	for (let index = 0; index < 100; index += 1) {
		world.submit('c-1', `0000000000000${index + 100}`, {payload: '1000', declaredMilliseconds: 1000, timeoutMilliseconds: resubmittedTimeoutMilliseconds});
		await world.advance(1);
	}

	await world.advance(2000);
	assert.equal(world.orders.starts.length, 100);
	assert.equal(framesOf(world) <= 10 * 2 * (names.length - 1), true, `${framesOf(world)} frames`);
});

for (const [state, fault] of [
	['dead', (world: PooledCluster) => {
		world.kill('a-1');
	}],
	['cut off', (world: PooledCluster) => {
		world.network.isolate('a-1', true);
	}],
	['frozen', (world: PooledCluster) => {
		world.pause('a-1', 'frozen');
	}],
] as const) {
	// Guards against jobs that wait for entries that can't answer.
	test(`a resubmitted job does not wait long for a peer that is ${state}`, async () => {
		for (const milliseconds of [0, 100, 300, 1300]) {
			const world = await createCluster();
			fault(world);
			await world.advance(milliseconds);
			const waited = await millisecondsToStart(world, '00000000000000bb', resubmittedTimeoutMilliseconds);
			assert.equal(waited <= longestWaitMilliseconds, true, `${waited} ms after ${milliseconds} ms`);
		}
	});
}

// Guards against jobs that wait for entries of former versions, which don't know the messages, each time.
test('a resubmitted job does not wait long for a peer that never answers takeovers', async () => {
	const world = await createCluster();
	world.network.unknownChannels.set('a-1#1' as MemberId, 'takeover');
	const waited = await millisecondsToStart(world, '00000000000000bb', resubmittedTimeoutMilliseconds);
	assert.equal(waited <= longestWaitMilliseconds, true, `${waited} ms`);
});

// Guards against a takeover that arrives late or again, and stops the run of a submission after it.
test('a late takeover does not stop the runs of a later submission', async () => {
	for (const owner of ['a', 'b']) {
		const world = await createCluster(0);
		for (const link of ['a-1', 'a-2', 'b-1', 'b-2', 'c-2']) {
			world.network.linkDelays.set(`c-1#1>${link}#1`, 2300);
		}

		world.addTarget('target', owner);
		await world.advance(1000);
		const job = {payload: '1500', declaredMilliseconds: 1000};
		const second = world.submit('c-1', '00000000000000aa', {...job, timeoutMilliseconds: resubmittedTimeoutMilliseconds});
		await world.advance(1300);
		second.cancel();
		const third = world.submit('a-1', '00000000000000aa', {...job, timeoutMilliseconds: resubmittedTimeoutMilliseconds - 1300});
		await world.advance(900);
		assert.equal(world.runningTasks().length, 1);
		await world.advance(8000);
		assert.deepEqual([third.verdict, world.orders.starts.length, world.orders.peakConcurrentRuns], [{kind: 'answered', answer: 'complete'}, 1, 1]);
	}
});

// Guards against an entry that goes on with a job, or calls it not run, although a later submission of it is run elsewhere.
test('the entry of a former submission answers that the job may have run', async () => {
	const world = await createCluster();
	const first = world.submit('a-1', '00000000000000aa', {payload: '2000', declaredMilliseconds: 2000, timeoutMilliseconds});
	await world.advance(1300);
	const second = world.submit('c-1', '00000000000000aa', {payload: '2000', declaredMilliseconds: 2000, timeoutMilliseconds: resubmittedTimeoutMilliseconds});
	await world.advance(8000);
	assert.equal(first.verdict?.kind, 'mayHaveRun');
	assert.deepEqual([second.verdict, world.orders.starts.length, world.orders.peakConcurrentRuns], [{kind: 'answered', answer: 'complete'}, 2, 1]);
});

// Guards against "not run" for a job of which a former submission is still running.
test('a job that expires while it waits for a former run may have run', async () => {
	const world = await createCluster();
	world.submit('a-1', '00000000000000aa', {payload: '4000', declaredMilliseconds: 1000, timeoutMilliseconds});
	await world.advance(200);
	world.orders.behaviour.set(world.orders.starts[0]!.target, 'silent');
	const second = world.submit('c-1', '00000000000000aa', {payload: '4000', declaredMilliseconds: 1000, timeoutMilliseconds: 1500});
	await world.advance(900);
	assert.deepEqual([second.verdict?.kind, world.orders.starts.length], ['mayHaveRun', 1]);
});
