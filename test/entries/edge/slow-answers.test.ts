/** Resubmissions beside a live entry that is known to read its input late. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const timeoutMilliseconds = 20_000;
const job = {payload: '8000', declaredMilliseconds: 5000, timeoutMilliseconds};

/** A requester that reads late by `delay` for the `slow` milliseconds before its job is submitted again; `loses`: its target gets no stops. */
type Case = {readonly owner: string; readonly delay: number; readonly slow: number; readonly after: number; readonly loses: boolean};

/** Resubmits the job of a slow requester through c-1 after a fault. */
async function resubmitBeside({owner, delay, slow, after, loses}: Case, fault: (world: PausableCluster) => void = () => undefined) {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget('target', owner);
	await cluster.start();
	await cluster.advance(2000);
	cluster.entries.get('c-1')!.callerTimeouts.seed('queue' as ProfileName, timeoutMilliseconds);
	world.submit('a-1', id, job);
	await cluster.advance(50 + after - slow);
	world.clocks.get('a-1')!.slowDown(delay);
	world.loseStops('target', loses);
	await cluster.advance(slow);
	cluster.addTarget('c-target', 'c');
	fault(world);
	const submittedAt = cluster.clock.now();
	world.submit('c-1', id, {...job, timeoutMilliseconds: timeoutMilliseconds - after});
	const startsBefore = cluster.orders.starts.length;
	let waited = 0;
	for (let elapsed = 0; elapsed < 3000; elapsed = cluster.clock.now() - submittedAt) {
		waited = cluster.orders.starts.length > startsBefore ? waited : elapsed;
		await cluster.advance(5);
	}

	return {waited, peakConcurrentRuns: cluster.orders.peakConcurrentRuns};
}

// Guards against starting beside a run whose requester reads the request to give it up after the others have answered.
for (const loses of [true, false]) {
	test(`a resubmission is not run beside the run of a slow requester, whichever entry owns its target (${loses ? 'stops are lost' : 'stops work'})`, async () => {
		for (const owner of ['a', 'b', 'c']) {
			for (const delay of [60, 130, 170, 230, 250, 280]) {
				for (const slow of [700, 1000, 1300]) {
					const {peakConcurrentRuns} = await resubmitBeside({
						owner, delay, slow, after: 1300, loses,
					});
					assert.equal(peakConcurrentRuns, 1, `target of ${owner}-1, ${delay} ms late, slow for ${slow} ms`);
				}
			}
		}
	});
}

// Guards against jobs that are held up by an entry that was slow before it was cut off.
test('a resubmitted job waits for at most half a second beside a slow peer that is cut off', async () => {
	for (const delay of [130, 170, 230, 280]) {
		const {waited} = await resubmitBeside({
			owner: 'b', delay, slow: 1300, after: 1300, loses: false,
		}, ({cluster}) => {
			cluster.network.isolate('a-1', true);
		});
		assert.equal(waited <= 550, true, `${delay} ms late: ${waited} ms`);
	}
});
