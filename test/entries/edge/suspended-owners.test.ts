/** Owners that are suspended for less than the time of a standstill while a requester of their runs dies. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausableCluster} from '../../support/pausable-cluster.js';
import {createRemoteRun} from '../../support/create-remote-run.js';

const id = '00000000000000aa';
const job = {payload: '6000', declaredMilliseconds: 3000, timeoutMilliseconds: 9000};
const resubmissionMilliseconds = 1300;
/** How long the requester goes on after its owner was suspended; longer than the period of its heartbeats. */
const requesterLifeMilliseconds = 210;

// Guards against heartbeats that waited in the sockets of a suspended owner, whose clock doesn't show for how long.
test('a suspended owner does not take the unread heartbeats of a dead requester for recent ones', async () => {
	const {world} = await createRemoteRun(id, job);
	world.pause('b-1', 'suspended');
	await world.advance(requesterLifeMilliseconds);
	world.network.isolate('a-1', true);
	world.entries.get('a-1')!.dispose();
	await world.advance(800 - requesterLifeMilliseconds);
	world.resume('b-1');
	await world.advance(requesterLifeMilliseconds + resubmissionMilliseconds - 800);
	world.submit('c-1', id, job);
	await world.advance(2000);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against ending the runs of live requesters because their owner was suspended for a moment.
test('runs of a live requester go on after a short suspension of their owner', async () => {
	const {world, first} = await createRemoteRun(id, job);
	world.pause('b-1', 'suspended');
	await world.advance(600);
	world.resume('b-1');
	await world.advance(6000);
	assert.deepEqual([first.verdict, world.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 1]);
});

// Guards against taking a step of the time of day for a suspension, after which all requesters would look silent.
test('an owner whose time of day is set ahead goes on with runs of live requesters, and starts others', async () => {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget('b-target', 'b');
	await cluster.start();
	const jobs = [world.submit('a-1', id, job)];
	await cluster.advance(500);
	world.clocks.get('b-1')!.advanceWallTime(4400);
	await cluster.advance(1000);
	jobs.push(world.submit('a-1', '00000000000000bb', job));
	await cluster.advance(7000);
	assert.deepEqual(jobs.map(({submitted}) => submitted?.verdict), Array.from({length: 2}, () => ({kind: 'answered', answer: 'complete'})));
	assert.equal(cluster.orders.starts.length, 2);
});

type Suspension = {
	/** Whether the run is handed over when its requester dies. */
	readonly isHandedOver?: boolean;
	/** Time from the death to the suspension. */
	readonly deadMilliseconds: number;
	readonly suspendedMilliseconds: number;
	readonly areStopsLost?: boolean;
};

/** Suspends the owner of a dead requester's run, and submits the job again elsewhere; returns the highest number of concurrent runs. */
async function suspendOwner({isHandedOver = false, deadMilliseconds, suspendedMilliseconds, areStopsLost = false}: Suspension): Promise<number> {
	const world = new PausableCluster(['a-1', 'b-1', 'b-2', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget('b-target', 'b');
	await cluster.start();
	await cluster.advance(2000);
	world.submit('a-1', id, job);
	await cluster.advance(1050);
	cluster.addTarget('c-target', 'c');
	const [first, second] = cluster.entries.get('b-1')!.executor.ownedTargets > 0 ? ['b-1', 'b-2'] as const : ['b-2', 'b-1'] as const;
	world.loseStops('b-target', areStopsLost);
	cluster.network.isolate('a-1', true);
	cluster.entries.get('a-1')!.dispose();
	if (isHandedOver) {
		void cluster.entries.get(first)!.leave();
	}

	await cluster.advance(deadMilliseconds);
	const owner = isHandedOver ? second : first;
	assert.equal(cluster.entries.get(owner)!.executor.ownedTargets, 1);
	world.pause(owner);
	await cluster.advance(suspendedMilliseconds);
	world.resume(owner, {first: 'network', countsPause: false, socketOrder: 0});
	await cluster.advance(resubmissionMilliseconds - deadMilliseconds - suspendedMilliseconds);
	world.submit('c-1', id, job);
	await cluster.advance(1000);
	assert.equal(cluster.orders.starts.at(-1)?.target, 'c-target');
	return cluster.orders.peakConcurrentRuns;
}

// Guards against a new owner that takes the contact in a handover for a recent one after it was suspended, and renews the run.
test('a new owner that is suspended after a handover ends the run of a dead requester before its caller resubmits', async () => {
	for (const suspension of [{deadMilliseconds: 150, suspendedMilliseconds: 800}, {deadMilliseconds: 100, suspendedMilliseconds: 300, areStopsLost: true}]) {
		assert.equal(await suspendOwner({...suspension, isHandedOver: true}), 1, JSON.stringify(suspension));
	}
});

// Guards against an owner that wakes up, reads an answer of its target before anything else, and renews the lease by what it knew before.
test('an owner that reads an answer of its target first after a suspension ends the run of a dead requester before its caller resubmits', async () => {
	const suspensions = [
		{deadMilliseconds: 300, suspendedMilliseconds: 700},
		{deadMilliseconds: 300, suspendedMilliseconds: 300, areStopsLost: true},
		{isHandedOver: true, deadMilliseconds: 300, suspendedMilliseconds: 800},
	];
	for (const suspension of suspensions) {
		assert.equal(await suspendOwner(suspension), 1, JSON.stringify(suspension));
	}
});
