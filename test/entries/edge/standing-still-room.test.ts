/** Use of an entry's own targets right after a pause. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledCluster} from '../../support/pooled-cluster.js';

/** The objective of a job of 100 ms on the test's route. */
const objectiveMilliseconds = 220;

for (const kind of ['suspended', 'frozen'] as const) {
	// Guards against starts that idle targets reject as outdated until their leases have been renewed, which delays short jobs.
	test(`an entry that was ${kind} serves a short job on its idle targets in time`, async () => {
		const world = new PooledCluster(['a-1'], 4);
		await world.start();
		await world.advance(2000);
		world.pause('a-1', kind);
		await world.advance(3000);
		world.resume('a-1');
		await world.advance(100);
		const submitted = world.submit('a-1', '00000000000000aa', {tasks: 2});
		await world.advance(objectiveMilliseconds);
		assert.deepEqual(submitted.verdict, {kind: 'answered', answer: 'complete'});
	});
}
