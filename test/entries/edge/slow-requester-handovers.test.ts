/** Handovers of the runs of requesters that are slow. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausableCluster} from '../../support/pausable-cluster.js';

const id = '00000000000000aa';
const callerResubmissionMilliseconds = 1300;
/** Moments at which the requester becomes slow, spread over the interval between two of its heartbeats. */
const phases = [0, 30, 60, 90];

// Guards against a new owner that ends the run of a live requester because it takes the requester's delay of reading for silence, which
// leaves too little time to acknowledge the new owner.
for (const delay of [120, 160, 200, 230]) {
	test(`a run goes on when its owner leaves, although its requester is ${delay} ms late`, async () => {
		for (const phase of phases) {
			const world = new PausableCluster(['a-1', 'b-1', 'b-2', 'c-1'], 0);
			const {cluster} = world;
			cluster.addTarget('target', 'b');
			await cluster.start();
			await cluster.advance(2000);
			const submission = world.submit('a-1', id, {payload: '6000', declaredMilliseconds: 6000, timeoutMilliseconds: 20_000});
			await cluster.advance(50 + phase);
			world.clocks.get('a-1')!.slowDown(delay);
			await cluster.advance(1000);
			const [, owner] = [...cluster.entries].find(([, {executor}]) => executor.ownedTargets > 0)!;
			void owner.leave();
			await cluster.advance(9000);
			assert.equal(owner.executor.ownedTargets, 0);
			assert.deepEqual([submission.submitted?.verdict, cluster.orders.starts.length], [{kind: 'answered', answer: 'complete'}, 1], `after ${phase} ms`);
		}
	});
}

// Guards against a new owner that takes the messages of a requester that doesn't know it for a sign that the requester still wants the
// run: a requester that gave up the job has sent the stop to the former owner.
test('a run whose stops are lost ends before its caller resubmits, although its owner leaves when the slow requester gives up', async () => {
	for (const [delay, leaveMilliseconds] of [[120, 150], [160, 300], [200, 250], [230, 300]] as const) {
		for (const phase of phases) {
			const world = new PausableCluster(['a-1', 'b-1', 'b-2', 'c-1'], 0);
			const {cluster} = world;
			cluster.addTarget('target', 'b');
			await cluster.start();
			await cluster.advance(2000);
			const submission = world.submit('a-1', id, {payload: '8000', declaredMilliseconds: 8000, timeoutMilliseconds: 20_000});
			await cluster.advance(50);
			world.clocks.get('a-1')!.slowDown(delay);
			await cluster.advance(1000 + phase);
			world.loseStops('target', true);
			submission.disconnect();
			await cluster.advance(leaveMilliseconds);
			const [, owner] = [...cluster.entries].find(([, {executor}]) => executor.ownedTargets > 0)!;
			void owner.leave();
			await cluster.advance(callerResubmissionMilliseconds - leaveMilliseconds);
			assert.equal(owner.executor.ownedTargets, 0);
			assert.deepEqual(cluster.runningTasks(), [], `${delay} ms late, after ${phase} ms`);
		}
	}
});
