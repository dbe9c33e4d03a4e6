/** Resubmissions through an entry that stalls while the answers of its peers arrive. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const timeoutMilliseconds = 20_000;
const answerMilliseconds = 8;

/** Resubmits a job whose first caller's disconnect doesn't arrive, and returns the highest number of concurrent runs of its task. */
async function resubmitWithStall(owner: 'a' | 'b', first: 'timers' | 'network', stallMilliseconds: number): Promise<number> {
	const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
	const {cluster} = world;
	cluster.addTarget('target', owner);
	await cluster.start();
	await cluster.advance(2000);
	cluster.entries.get('c-1')!.callerTimeouts.seed('queue' as ProfileName, timeoutMilliseconds);
	const job = {payload: '8000', declaredMilliseconds: 2000, timeoutMilliseconds};
	world.submit('a-1', id, job);
	await cluster.advance(50);
	cluster.addTarget('c-target', 'c');
	world.loseStops('target', true);
	for (const peer of ['a-1', 'b-1']) {
		cluster.network.linkDelays.set(`${peer}#1>c-1#1`, answerMilliseconds);
	}

	await cluster.advance(1300);
	world.submit('c-1', id, {...job, timeoutMilliseconds: timeoutMilliseconds - 1300});
	await cluster.advance(5);
	world.pause('c-1');
	await cluster.advance(stallMilliseconds);
	world.resume('c-1', {first, countsPause: true, socketOrder: 0});
	await cluster.advance(3000);
	assert.equal(cluster.orders.starts.length, 2, 'the resubmitted job is never started');
	return cluster.orders.peakConcurrentRuns;
}

for (const owner of ['a', 'b'] as const) {
	// Guards against a takeover that expires before the answers that arrived during a stall are read.
	test(`a resubmission is not run beside the former one if its entry stalls before it reads the answers (target of ${owner}-1)`, async () => {
		const failed: string[] = [];
		for (const first of ['timers', 'network'] as const) {
			for (const stall of [60, 110, 150, 250, 450]) {
				if (await resubmitWithStall(owner, first, stall) > 1) {
					failed.push(`${first} first, stall of ${stall} ms`);
				}
			}
		}

		assert.deepEqual(failed, []);
	});
}
