/** Resubmissions while the entry of the former submission answers late, and knows of no disconnect of its caller. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const timeoutMilliseconds = 20_000;
const job = {payload: '8000', declaredMilliseconds: 5000, timeoutMilliseconds};

async function createWorld(owner: string): Promise<PausableCluster> {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	world.cluster.addTarget('target', owner);
	await world.cluster.start();
	await world.cluster.advance(2000);
	world.cluster.entries.get('c-1')!.callerTimeouts.seed('queue' as ProfileName, timeoutMilliseconds);
	return world;
}

async function resubmit(world: PausableCluster): Promise<number> {
	world.cluster.addTarget('c-target', 'c');
	world.submit('c-1', id, {...job, timeoutMilliseconds: timeoutMilliseconds - 1300});
	await world.cluster.advance(3000);
	return world.cluster.orders.peakConcurrentRuns;
}

/** The delays of a requester that owns the target of the former run, and is waited for too shortly. */
async function delaysWithRunGoingOn(): Promise<readonly number[]> {
	const failed: number[] = [];
	for (const delay of [60, 110, 150, 230]) {
		const world = await createWorld('a');
		world.submit('a-1', id, job);
		await world.cluster.advance(50);
		world.clocks.get('a-1')!.slowDown(delay);
		world.loseStops('target', true);
		await world.cluster.advance(1300);
		if (await resubmit(world) > 1) {
			failed.push(delay);
		}
	}

	return failed;
}

/** The moments at which the owner starts a waiting former submission after it has answered that there is none. */
async function momentsWithLateStart(): Promise<readonly string[]> {
	const failed: string[] = [];
	for (const delay of [60, 110, 150]) {
		for (const freedBefore of [200, 150, 80]) {
			const world = await createWorld('b');
			const others = ['00000000000000b1', '00000000000000b2'].map(other => world.submit('b-1', other, job));
			await world.cluster.advance(50);
			world.submit('a-1', id, job);
			await world.cluster.advance(1000);
			world.clocks.get('a-1')!.slowDown(delay);
			await world.cluster.advance(300);
			for (const other of others) {
				other.disconnect();
			}

			await world.cluster.advance(freedBefore);
			if (await resubmit(world) > 1) {
				failed.push(`${delay} ms late, room ${freedBefore} ms before`);
			}
		}
	}

	return failed;
}

// Guards against a resubmission that doesn't wait for a live requester, whose former submission runs on or is started afterwards.
test('a resubmission is not run beside a former submission whose requester answers late', async () => {
	assert.deepEqual({runsOn: await delaysWithRunGoingOn(), startsLate: await momentsWithLateStart()}, {runsOn: [], startsLate: []});
});
