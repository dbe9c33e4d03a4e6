/** Tasks that crash every target that starts them. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {InstanceId} from '../../../src/base/instance-id.js';
import {PooledCluster} from '../../support/pooled-cluster.js';

const crashing = 'crashes its target';
const callerPatience = 1500;
/** The interval after which a caller without an answer submits its job again. */
const resubmitMilliseconds = 1300;
const settlingMilliseconds = 6000;
const entries = ['a-1', 'a-2', 'b-1', 'b-2'];

async function startedWorld(): Promise<PooledCluster> {
	const world = new PooledCluster(entries, 16);
	await world.startWithPeerList();
	await world.advance(1000);
	return world;
}

/** Submits a job to one entry after another until it is answered. */
async function submitUntilAnswered(world: PooledCluster, id: string, options: Parameters<PooledCluster['submit']>[2], submissions = 8) {
	for (let submission = 0; submission < submissions; submission += 1) {
		const submitted = world.submit(entries[submission % entries.length]!, id, {...options, timeoutMilliseconds: callerPatience});
		await world.advance(resubmitMilliseconds);
		if (submitted.verdict?.kind === 'answered') {
			return submitted.verdict.answer;
		}

		submitted.cancel();
	}

	return undefined;
}

// Guards against entries that count only their own attempts, so that resubmissions let one task crash many targets.
test('a task that crashes its targets is started at most three times, wherever its job is resubmitted', async () => {
	const world = await startedWorld();
	const answer = await submitUntilAnswered(world, '0000000000000001', {payload: crashing});
	await world.advance(settlingMilliseconds);
	assert.deepEqual({crashes: world.orders.crashes.length <= 3, answer}, {crashes: true, answer: 'failed'}, `${world.orders.crashes.length} crashes`);
});

test('a resubmitted job whose task is known to crash targets is answered immediately', async () => {
	const world = await startedWorld();
	await submitUntilAnswered(world, '0000000000000001', {payload: crashing});
	await world.advance(settlingMilliseconds);
	const {length} = world.orders.crashes;
	const again = world.submit('b-2', '0000000000000001', {payload: crashing});
	await world.advance(50);
	assert.deepEqual([again.verdict, world.orders.crashes.length], [{kind: 'answered', answer: 'failed'}, length]);
});

// Guards against crash counts that are lost with the job's entry.
test('a task that crashes its targets is started at most three times even if the entry of its job is lost', async () => {
	const world = await startedWorld();
	const first = world.submit('a-1', '0000000000000001', {payload: crashing, timeoutMilliseconds: callerPatience});
	await world.advance(resubmitMilliseconds);
	world.kill('a-1');
	assert.equal(first.verdict, undefined);
	await world.advance(1000);
	entries.push(entries.shift()!);
	await submitUntilAnswered(world, '0000000000000001', {payload: crashing}, 3);
	entries.unshift(entries.pop()!);
	await world.advance(settlingMilliseconds);
	assert.equal(world.orders.crashes.length <= 3, true, `${world.orders.crashes.length} crashes`);
});

// Guards against tasks that are blamed for an outage of their rack.
test('tasks on targets that crash for another reason are neither given up nor delayed', async () => {
	const world = await startedWorld();
	const jobs = Array.from({length: 20}, (_, index) => world.submit(entries[index % entries.length]!, String(index).padStart(16, '0'), {payload: '300', timeoutMilliseconds: 5000}));
	await world.advance(100);
	const rack = new Set(world.orders.starts.map(({target}) => target).slice(0, 11));
	for (const id of rack) {
		world.orders.crash(id);
	}

	await world.advance(2000);
	assert.deepEqual(jobs.map(({verdict}) => verdict?.kind === 'answered' && verdict.answer).filter(answer => answer !== 'complete'), []);
});

// Guards against failing jobs because another task crashed the target they shared.
test('tasks on the same target as a crashing task are not given up', async () => {
	const world = await startedWorld();
	const sound: Array<ReturnType<PooledCluster['submit']>> = [];
	for (let round = 0; round < 30; round += 1) {
		if (round < 6) {
			world.submit(entries[round % entries.length]!, `f${String(round).padStart(15, '0')}`, {payload: crashing, timeoutMilliseconds: callerPatience});
		}

		for (const [place, entry] of entries.entries()) {
			sound.push(world.submit(entry, `${round}${place}`.padStart(16, '0'), {
				tasks: 4, payload: '200', timeoutMilliseconds: 8000, declaredMilliseconds: 2000,
			}));
		}

		await world.advance(100);
	}

	await world.advance(settlingMilliseconds);
	const failed = sound.filter(({verdict}) => verdict?.kind === 'answered' && verdict.answer === 'failed');
	assert.equal(failed.length, 0, `${failed.length} of ${sound.length} jobs`);
});

// Guards against counting a start on a target that was already down as a crash caused by the task.
test('a task sent to a target that was already down is not blamed for the crash', async () => {
	const world = await startedWorld();
	for (let index = 0; index < 16; index += 1) {
		world.orders.crash(`a-target-${index}` as InstanceId);
	}

	const job = world.submit('a-1', '0000000000000001', {payload: '300', timeoutMilliseconds: 5000, declaredMilliseconds: 3000});
	while (world.orders.starts.length === 0) {
		await world.advance(20);
	}

	world.orders.crash(world.orders.starts.at(-1)!.target);
	await world.advance(4000);
	const again = world.submit('b-1', '0000000000000001', {payload: '300'});
	await world.advance(8000);
	const answers = [job, again].map(({verdict}) => verdict?.kind === 'answered' ? verdict.answer : verdict?.kind);
	assert.equal(answers.includes('failed'), false, answers.join(', '));
});
