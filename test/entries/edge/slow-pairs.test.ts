/** Requesters that are slow while the owner of their target is slow as well. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
/** Delays of the requester and of the owner. */
const delayPairs = [[120, 120], [160, 160], [200, 150], [200, 200], [230, 120], [230, 160], [230, 200]] as const;
/** Moments at which both become slow, spread over the interval between two heartbeats. */
const phases = [0, 30, 60, 90];

// Guards against an owner that ends the run of a live requester, or refuses to start it again, because the requester's delay of reading,
// the age of its heartbeats and the owner's own delay add up to more than the limit of a lease.
for (const [requester, owner] of delayPairs) {
	test(`a run goes on although its requester is ${requester} ms late and its owner ${owner} ms`, async () => {
		for (const phase of phases) {
			const world = new PausableCluster(['a-1', 'b-1', 'c-1'], 0);
			const {cluster} = world;
			cluster.addTarget('target', 'b');
			await cluster.start();
			await cluster.advance(2000);
			const submission = world.submit('a-1', id, {payload: '4000', declaredMilliseconds: 4000, timeoutMilliseconds: 20_000});
			await cluster.advance(50 + phase);
			world.clocks.get('a-1')!.slowDown(requester);
			world.clocks.get('b-1')!.slowDown(owner);
			await cluster.advance(7000);
			assert.deepEqual([submission.submitted?.verdict, cluster.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 1], `after ${phase} ms`);
		}
	});
}
