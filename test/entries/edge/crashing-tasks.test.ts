/** Tasks that take down every target that starts them. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {InstanceId} from '../../../src/base/instance-id.js';
import {PooledCluster} from '../../support/pooled-cluster.js';

const crashing = 'crashes its target';
const callerPatience = 1500;
/** When a caller submits again after it got no answer, from its last submission. */
const resubmitMilliseconds = 1300;
const settlingMilliseconds = 6000;
const entries = ['a-1', 'a-2', 'b-1', 'b-2'];

async function startedWorld(): Promise<PooledCluster> {
	const world = new PooledCluster(entries, 16);
	await world.startWithPeerList();
	await world.advance(1000);
	return world;
}

/** A caller that submits its job again, each time at the next entry, until it gets an answer. */
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

// A job's task crashes its target, and its caller, who gets no answer in time, submits the job again at another entry. Each
// entry knew only of its own tries, and began the task on one target after the other: nine targets went down, each with
// all else that ran there.
test('a task that crashes its targets is started three times at most, wherever its job is submitted again', async () => {
	const world = await startedWorld();
	const answer = await submitUntilAnswered(world, '0000000000000001', {payload: crashing});
	await world.advance(settlingMilliseconds);
	assert.deepEqual({crashes: world.orders.crashes.length <= 3, answer}, {crashes: true, answer: 'failed'}, `${world.orders.crashes.length} crashes`);
});

test('a job whose task is known to crash targets is answered at once when it is submitted again', async () => {
	const world = await startedWorld();
	await submitUntilAnswered(world, '0000000000000001', {payload: crashing});
	await world.advance(settlingMilliseconds);
	const {length} = world.orders.crashes;
	const again = world.submit('b-2', '0000000000000001', {payload: crashing});
	await world.advance(50);
	assert.deepEqual([again.verdict, world.orders.crashes.length], [{kind: 'answered', answer: 'failed'}, length]);
});

// The entry that had the job goes down with it: what the task has done must be known to the one where it comes again.
test('it holds when the entry of the job is lost', async () => {
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

// A rack loses its power: its targets go down with tasks that have done nothing wrong, and are back after two seconds. Those
// tasks are begun elsewhere, and their jobs are answered.
test('tasks on targets that crash for another cause are neither given up nor held back', async () => {
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

// Jobs run beside a task that crashes its target, and go down with it. They are begun again elsewhere and do no harm there; to
// give them up as well would fail callers for what others did.
test('tasks beside one that crashes its target are not given up', async () => {
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

// A target is down, and its owner doesn't know yet: a task is sent there and never starts. Begun again, it runs beside one that
// crashes its target. Counted as two crashes, its job was answered as one that can't be done.
test('a task that was sent to a target that was down already is not taken for its crash', async () => {
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
