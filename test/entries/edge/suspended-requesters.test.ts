/** Entries that are suspended until their callers have resubmitted, and go on without having learned of the suspension. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const task = `${id}.0.0.0`;
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 60_000};
/** How long after a loss callers resubmit; the loss is a moment after the suspension begins, and the entry never reads it. */
const resubmissionMilliseconds = 1310;
const resume = {first: 'network', countsPause: false, socketOrder: 0} as const;

/**
 * Starts a cluster in which a job of an entry of zone `a` waits for capacity: the target of its zone, which it owns or not, is
 * taken for long, the one of zone `b` for 300 ms. Connections to targets are closed when they have been idle.
 */
async function createWaitingJob(names: readonly string[], ownsTarget = true) {
	const world = new PausableCluster(names, 0);
	const {cluster} = world;
	world.closeIdleConnections();
	cluster.addTarget('a-target', 'a');
	cluster.addTarget('b-target', 'b');
	await cluster.start();
	await cluster.advance(2500);
	const [owner, other] = names.filter(name => name.startsWith('a-')).sort((left, right) => ownedTargets(world, right) - ownedTargets(world, left)) as [string, string];
	const requester = ownsTarget ? owner : other;
	world.submit(owner, '00000000000000cc', {
		tasks: 2, payload: '20000', declaredMilliseconds: 20_000, timeoutMilliseconds: 30_000,
	});
	await cluster.advance(100);
	world.submit('c-0', '00000000000000bb', {
		tasks: 2, payload: '300', declaredMilliseconds: 300, timeoutMilliseconds: 2000,
	});
	await cluster.advance(50);
	world.submit(requester, id, job);
	await cluster.advance(100);
	assert.equal(cluster.orders.starts.length, 4);
	return {world, cluster, requester};
}

function ownedTargets({cluster}: PausableCluster, name: string): number {
	return cluster.entries.get(name)!.executor.ownedTargets;
}

/** Suspends an entry; its caller submits the job again in zone `c` meanwhile, whose target is full from then on. */
async function suspend({world, cluster, requester}: Awaited<ReturnType<typeof createWaitingJob>>, milliseconds: number): Promise<void> {
	world.pause(requester);
	cluster.addTarget('c-target', 'c');
	await cluster.advance(resubmissionMilliseconds);
	world.submit('c-0', id, job);
	world.submit('c-0', '00000000000000dd', {payload: '20000', declaredMilliseconds: 20_000, timeoutMilliseconds: 30_000});
	await cluster.advance(milliseconds - resubmissionMilliseconds);
	assert.deepEqual(cluster.runningTasks().filter(running => running === task), [task]);
}

// Guards against a resumed entry whose targets have a new owner, so that their refusals are all it gets and none shows the suspension.
test('a resumed entry whose targets changed owner starts no waiting task', async () => {
	const started = await createWaitingJob(['a-0', 'a-1', 'b-0', 'c-0']);
	await suspend(started, 4400);
	started.world.resume(started.requester, resume);
	await started.cluster.advance(1000);
	assert.equal(started.cluster.orders.peakConcurrentRuns, 1);
});

// Guards against further attempts by a resumed entry that can't tell its suspension, for runs that were stopped because it was lost.
test('a resumed entry whose targets changed owner starts no further attempt of a stopped task', async () => {
	const started = await createWaitingJob(['a-0', 'a-1', 'b-0', 'c-0']);
	const {world, cluster, requester} = started;
	await cluster.advance(500);
	assert.deepEqual(cluster.runningTasks().filter(running => running === task), [task]);
	await suspend(started, 4400);
	world.resume(requester, resume);
	await cluster.advance(1000);
	assert.equal(cluster.orders.peakConcurrentRuns, 1);
});

// Guards against a resumed entry that places tasks before its targets' clocks show the suspension, since all its connections are closed.
test('a resumed entry of a large fleet that has to reconnect to its targets starts no waiting task', async () => {
	const names = Array.from({length: 24}, (_, index) => `${'abc'.charAt(index % 3)}-${Math.floor(index / 3)}`);
	const started = await createWaitingJob(names);
	const {world, cluster, requester} = started;
	world.keepMemberships();
	await suspend(started, 2300);
	world.resume(requester, resume);
	await cluster.advance(1000);
	assert.equal(cluster.orders.peakConcurrentRuns, 1);
});

// Guards against a time of day that is set back by the length of a suspension, which then shows on neither of the entry's clocks.
test('a resumed entry without targets whose time of day was set back meanwhile starts no waiting task', async () => {
	const started = await createWaitingJob(['a-0', 'a-1', 'b-0', 'c-0'], false);
	const {world, cluster, requester} = started;
	await suspend(started, 4400);
	world.clocks.get(requester)!.advanceWallTime(-4400);
	world.resume(requester, resume);
	await cluster.advance(1000);
	assert.equal(cluster.orders.peakConcurrentRuns, 1);
});

// Guards against further attempts by a resumed entry that can't tell its suspension, for its own runs that ended with their lease.
test('a resumed entry whose own target changed owner starts no further attempt of its run there', async () => {
	for (const milliseconds of [1700, 2300, 3000, 4400]) {
		const world = new PausableCluster(['a-0', 'a-1', 'b-0', 'c-0'], 0);
		const {cluster} = world;
		cluster.addTarget('a-target', 'a');
		cluster.addTarget('b-target', 'b');
		await cluster.start();
		await cluster.advance(2500);
		const requester = ['a-0', 'a-1'].find(name => ownedTargets(world, name) === 1)!;
		world.submit(requester, id, job);
		await cluster.advance(500);
		await suspend({world, cluster, requester}, milliseconds);
		world.resume(requester, resume);
		await cluster.advance(2000);
		assert.equal(cluster.orders.peakConcurrentRuns, 1, `${milliseconds} ms`);
	}
});
