/** Resubmissions through another entry while runs of the former submission are still active on a target that receives no stops. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const timeoutMilliseconds = 20_000;
const resubmissionMilliseconds = 1300;
const resume = {first: 'timers', countsPause: true, socketOrder: 0} as const;

/** What happens to the requester between the start of its run and the disconnect of its caller. */
type Fault = (world: PausableCluster) => Promise<void>;

/** Disconnects the caller of a run after a fault, and returns the highest number of concurrent runs of its task. */
async function resubmitAfter(fault: Fault, owner: 'a' | 'b', afterwards: Fault = async () => undefined, others: readonly string[] = []): Promise<number> {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1', ...others], 0);
	const {cluster} = world;
	cluster.addTarget('target', owner);
	await cluster.start();
	await cluster.advance(2000);
	cluster.entries.get('c-1')!.callerTimeouts.seed('queue' as ProfileName, timeoutMilliseconds);
	const job = {payload: '8000', declaredMilliseconds: 2000, timeoutMilliseconds};
	const submission = world.submit('a-1', id, job);
	await cluster.advance(50);
	assert.deepEqual(cluster.runningTasks(), [`${id}.0.0.0`]);
	cluster.addTarget('c-target', 'c');
	await fault(world);
	world.loseStops('target', true);
	submission.disconnect();
	const disconnectedAt = cluster.clock.now();
	await afterwards(world);
	await cluster.advance(resubmissionMilliseconds - (cluster.clock.now() - disconnectedAt));
	world.submit('c-1', id, {...job, timeoutMilliseconds: timeoutMilliseconds - resubmissionMilliseconds});
	await cluster.advance(2500);
	assert.equal(cluster.orders.starts.length > 1, true, 'the resubmitted job is never started');
	return cluster.orders.peakConcurrentRuns;
}

/** Returns the phases in which two runs of the task were active at a time. */
async function failedPhases(phases: ReadonlyArray<readonly [string, () => Promise<number>]>): Promise<readonly string[]> {
	const failed: string[] = [];
	for (const [name, play] of phases) {
		if (await play() > 1) {
			failed.push(name);
		}
	}

	return failed;
}

function slowRequester(delay: number, slowMilliseconds: number): Fault {
	return async world => {
		world.clocks.get('a-1')!.slowDown(delay);
		await world.cluster.advance(slowMilliseconds);
	};
}

/** Makes the owner of the target leave after the given time. */
function leaveOwner(milliseconds: number): Fault {
	return async ({cluster}) => {
		await cluster.advance(milliseconds);
		const [, owner] = [...cluster.entries].find(([, {executor}]) => executor.ownedTargets > 0)!;
		void owner.leave();
	};
}

for (const owner of ['b', 'a'] as const) {
	// Guards against a run that outlasts the resubmission because its requester reads the disconnect later than it states.
	test(`a resubmission is not run beside the former run of a requester with a long reading delay (target of ${owner}-1)`, async () => {
		const phases = [280, 300, 350, 400].flatMap(delay => [1000, 1050, 1100, 1150, 1200, 1250, 1300, 1350].map(slow => [
			`${delay} ms late, slow for ${slow} ms`, async () => resubmitAfter(slowRequester(delay, slow), owner),
		] as const));
		assert.deepEqual(await failedPhases(phases), []);
	});

	// Guards against a run that outlasts the resubmission because its requester hasn't measured its reading delay yet.
	test(`a resubmission is not run beside the former run of a requester that has just become slow (target of ${owner}-1)`, async () => {
		const phases = [160, 200, 230, 260].flatMap(delay => [0, 25, 50, 75, 100, 125, 150, 175, 200, 225, 250, 275, 300].map(slow => [
			`${delay} ms late, slow for ${slow} ms`, async () => resubmitAfter(slowRequester(delay, slow), owner),
		] as const));
		assert.deepEqual(await failedPhases(phases), []);
	});

	// Guards against a run that outlasts the resubmission because its requester read the disconnect after a stall too short to be noticed.
	test(`a resubmission is not run beside the former run of a requester that stalls (target of ${owner}-1)`, async () => {
		const phases = [350, 400, 450, 500].flatMap(stall => [0, 25, 50, 75, 100, 125, 150, 175].map(phase => [
			`stall of ${stall} ms, phase ${phase}`, async () => resubmitAfter(async world => {
				await world.cluster.advance(1000 + phase);
				world.pause('a-1');
			}, owner, async world => {
				await world.cluster.advance(stall);
				world.resume('a-1', resume);
			}),
		] as const));
		assert.deepEqual(await failedPhases(phases), []);
	});
}

// Guards against a run that outlasts the resubmission because the new owner of its target learns late that its requester is gone.
test('a resubmission is not run beside a former run that is handed over', async () => {
	const phases = [0, 120, 200, 260].flatMap(delay => [0, 25, 50, 75, 100, 125, 150, 175, 200, 225, 250, 275, 300].map(phase => [
		`${delay} ms late, ${phase} ms from the disconnect to the handover`, async () => resubmitAfter(async world => {
			world.clocks.get('a-1')!.slowDown(delay);
			await world.cluster.advance(1000);
		}, 'b', leaveOwner(phase), ['b-2']),
	] as const));
	assert.deepEqual(await failedPhases(phases), []);
});
