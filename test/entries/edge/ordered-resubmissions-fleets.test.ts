/** Resubmissions in fleets that are too large for a full mesh, while runs of the former submission are still active. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const timeoutMilliseconds = 20_000;
const entriesInZone = 8;
const names = ['a', 'b', 'c'].flatMap(zone => Array.from({length: entriesInZone}, (_, index) => `${zone}-${index}`));

const targets = Array.from({length: 16}, (_, index) => `target-${index}`);

/** Resubmits a job of an entry of zone `a`, which runs in zone `b`, through an entry of zone `c`; returns the highest number of concurrent runs. */
async function resubmit(requester: string, resubmitter: string, slowMilliseconds: number): Promise<number> {
	const world = new PausableCluster(names, 0);
	const {cluster} = world;
	for (const target of targets) {
		cluster.addTarget(target, 'b');
	}

	await cluster.startWithPeerList();
	await cluster.advance(4000);
	cluster.entries.get(resubmitter)!.callerTimeouts.seed('queue' as ProfileName, timeoutMilliseconds);
	const job = {payload: '8000', declaredMilliseconds: 2000, timeoutMilliseconds};
	const submission = world.submit(requester, id, job);
	await cluster.advance(1000);
	if (cluster.runningTasks().length === 0) {
		return 0;
	}

	cluster.addTarget('c-target', 'c');
	world.clocks.get(requester)!.slowDown(230);
	await cluster.advance(slowMilliseconds);
	for (const target of targets) {
		world.loseStops(target, true);
	}

	submission.disconnect();
	await cluster.advance(1300);
	world.submit(resubmitter, id, {...job, timeoutMilliseconds: timeoutMilliseconds - 1300});
	await cluster.advance(3000);
	assert.equal(cluster.orders.starts.length > 1, true, 'the resubmitted job is never started');
	return cluster.orders.peakConcurrentRuns;
}

// Guards against a takeover that reaches neither the requester nor the owner of the former run, because they aren't neighbours.
test('a resubmission in a large fleet is not run beside the former run of a requester that has just become slow', async () => {
	const failed: string[] = [];
	let played = 0;
	for (const requester of names.slice(0, entriesInZone)) {
		for (const [index, slow] of [0, 25, 50].entries()) {
			const peak = await resubmit(requester, `c-${(Number(requester.slice(2)) + index) % entriesInZone}`, slow);
			played += peak === 0 ? 0 : 1;
			if (peak > 1) {
				failed.push(`${requester}, slow for ${slow} ms`);
			}
		}
	}

	assert.deepEqual(failed, []);
});
