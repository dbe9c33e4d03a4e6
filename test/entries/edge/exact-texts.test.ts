/** Payloads and labels of jobs whose tasks run on targets of other entries. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledCluster} from '../../support/pooled-cluster.js';

const texts = {
	'a leading byte order mark': `\uFEFF100${' '.repeat(200)}`,
	'several byte order marks': `\uFEFF\uFEFF100${' '.repeat(200)}`,
	'a short text with a byte order mark': '\uFEFF100',
	'an unpaired surrogate at the front': '\uD83D in a text',
	'unpaired surrogates in the wrong order': 'text with \uDE00\uD83D',
};

/** Two entries of different zones; the first one's zone has no target. */
async function clusterWithRemoteTargets(formerEntries: readonly string[] = []): Promise<PooledCluster> {
	const world = new PooledCluster(['a-1', 'b-1'], 0, undefined, formerEntries);
	for (const index of [1, 2]) {
		world.addTarget(`b-target-${index}`, 'b', false, [`\uFEFFlabel-${index}${'x'.repeat(60)}`]);
	}

	await world.start();
	return world;
}

for (const [name, payload] of Object.entries(texts)) {
	// Guards against a target that gets another payload than the caller sent.
	test(`targets of another entry get the payload as sent: ${name}`, async () => {
		const world = await clusterWithRemoteTargets();
		world.submit('a-1', '0000000000000001', {payload, tasks: 3});
		await world.advance(300);
		assert.deepEqual(new Set(world.orders.payloads), new Set([payload]));
	});

	// Guards against payloads that a former version changes, during a rolling replacement.
	test(`an entry of a former version gets no payload that it would change: ${name}`, async () => {
		const world = await clusterWithRemoteTargets(['b-1']);
		world.submit('a-1', '0000000000000001', {payload, tasks: 3});
		world.submit('a-1', '0000000000000002', {payload: '100', tasks: 1});
		await world.advance(300);
		assert.deepEqual(world.orders.payloads, ['100']);
	});
}

// Guards against tasks on a target without the required label, or on none.
test('a task runs on the target of another entry whose label begins with a byte order mark', async () => {
	const world = await clusterWithRemoteTargets();
	world.submit('a-1', '0000000000000001', {tasks: 2, placement: {label: `\uFEFFlabel-2${'x'.repeat(60)}`}});
	await world.advance(300);
	assert.deepEqual(world.orders.starts.map(({target}) => target), ['b-target-2', 'b-target-2']);
});
