/** Runs of lost requesters and ended jobs have to be over before the caller resubmits, 1300 ms after the loss. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {InstanceId} from '../../../src/base/instance-id.js';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 60_000};
const target = 'b-target' as InstanceId;
const resubmissionMilliseconds = 1300;
const resume = {first: 'timers', countsPause: false, socketOrder: 0} as const;

/** Times within the period of heartbeats at which a fault begins. */
const phases = [0, 25, 50, 75, 100, 125, 150, 175];

/** Starts a cluster in which the entry of zone `b` owns a target that runs the job of the given entry. */
async function createRunningJob(requester: string, phase = 0) {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget(target, 'b');
	await cluster.start();
	await cluster.advance(2000);
	const submission = world.submit(requester, id, job);
	await cluster.advance(500 + phase);
	assert.deepEqual(cluster.runningTasks(), [`${id}.0.0.0`]);
	cluster.addTarget('c-target', 'c');
	return {world, cluster, submission};
}

/** Submits the job again, and returns the highest number of concurrent runs of its task. */
async function resubmit({world, cluster}: Awaited<ReturnType<typeof createRunningJob>>): Promise<number> {
	world.submit('c-1', id, job);
	await cluster.advance(2500);
	return cluster.orders.peakConcurrentRuns;
}

// Guards against renewals that keep a run alive while its stops get no answer.
test('a run whose stops are lost ends with its lease before the caller resubmits', async () => {
	const started = await createRunningJob('b-1');
	const {world, cluster, submission} = started;
	world.loseStops(target, true);
	submission.disconnect();
	await cluster.advance(resubmissionMilliseconds);
	assert.equal(await resubmit(started), 1);
});

// Guards against an owner that reads everything late, declares a silent requester lost too late, and renews the run's lease until then.
test('a slow owner stops the run of a silent requester before the caller resubmits', async () => {
	for (const phase of phases) {
		const started = await createRunningJob('a-1', phase);
		const {world, cluster} = started;
		world.clocks.get('b-1')!.slowDown(300);
		await cluster.advance(1000);
		assert.deepEqual(cluster.runningTasks(), [`${id}.0.0.0`]);
		world.pause('a-1');
		await cluster.advance(resubmissionMilliseconds);
		assert.equal(await resubmit(started), 1, `phase ${phase}`);
	}
});

// Guards against suspensions below the pause detector's threshold, which delay the loss of a silent requester unnoticed.
test('an owner that was suspended too briefly to notice stops the run of a silent requester before the caller resubmits', async () => {
	for (const phase of phases) {
		const started = await createRunningJob('a-1', phase);
		const {world, cluster} = started;
		world.pause('a-1');
		await cluster.advance(20);
		world.pause('b-1');
		await cluster.advance(450);
		world.resume('b-1', resume);
		await cluster.advance(resubmissionMilliseconds - 470);
		assert.equal(await resubmit(started), 1, `phase ${phase}`);
	}
});

// Guards against an owner that resumes just before a lease ends, renews it, and then waits for a heartbeat of a requester that is gone.
test('an owner that resumes shortly before a lease ends does not keep the run of a silent requester', async () => {
	for (const phase of phases) {
		const started = await createRunningJob('a-1', phase);
		const {world, cluster} = started;
		world.pause('a-1');
		await cluster.advance(20);
		world.pause('b-1');
		await cluster.advance(950);
		world.resume('b-1', resume);
		await cluster.advance(resubmissionMilliseconds - 970);
		assert.equal(await resubmit(started), 1, `phase ${phase}`);
	}
});

for (const [fault, milliseconds] of [['receives no stops', 0], ['is silent', 600]] as const) {
	// Guards against leases that are renewed in full until a requester is lost, and then outlast the time to the caller's next submission.
	test(`the run of a silent requester ends before the caller resubmits, also on a target that ${fault}`, async () => {
		const started = await createRunningJob('a-1');
		const {world, cluster} = started;
		world.pause('a-1');
		await cluster.advance(milliseconds);
		if (fault === 'is silent') {
			cluster.orders.behaviour.set(target, 'silent');
		} else {
			world.loseStops(target, true);
		}

		await cluster.advance(resubmissionMilliseconds - milliseconds);
		assert.equal(await resubmit(started), 1);
	});
}

// Guards against a lease that was renewed for a requester already silent, by an owner that then goes silent itself.
test('a run ends before the caller resubmits when its requester and then its owner are suspended', async () => {
	for (const milliseconds of [0, 200, 400, 600, 800]) {
		const started = await createRunningJob('a-1');
		const {world, cluster} = started;
		world.pause('a-1');
		await cluster.advance(milliseconds);
		world.pause('b-1');
		await cluster.advance(resubmissionMilliseconds - milliseconds);
		assert.equal(await resubmit(started), 1, `${milliseconds} ms apart`);
	}
});
