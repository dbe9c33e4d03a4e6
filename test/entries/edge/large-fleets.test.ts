/** Failure detection in fleets where entries monitor only part of their peers closely. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledCluster} from '../../support/pooled-cluster.js';

const id = '00000000000000aa';
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 2000};

function namesOf(count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `z${index % 3}-${Math.floor(index / 3)}`);
}

// Guards against a resumed entry that learns of free capacity before its caller's disconnect, from an owner that has not lost it.
test('a resumed entry of a large fleet starts no waiting task at an owner that has not declared it lost', async () => {
	const world = new PooledCluster(namesOf(24), 0);
	world.addTarget('z0-target', 'z0');
	world.addTarget('z1-target', 'z1');
	await world.start();
	await world.advance(2500);
	const [name] = [...world.entries].find(([entry, {executor}]) => entry.startsWith('z0') && executor.ownedTargets === 1)!;
	world.submit(name, '00000000000000cc', {
		tasks: 2, payload: '20000', declaredMilliseconds: 20_000, timeoutMilliseconds: 30_000,
	});
	await world.advance(100);
	world.submit('z2-0', '00000000000000bb', {
		tasks: 2, payload: '300', declaredMilliseconds: 300, timeoutMilliseconds: 2000,
	});
	await world.advance(50);
	const first = world.submit(name, id, job);
	await world.advance(100);
	assert.equal(world.orders.starts.length, 4);
	world.pause(name, 'suspended');
	world.addTarget('z2-target', 'z2');
	await world.advance(1700);
	world.submit('z2-0', id, job);
	await world.advance(100);
	assert.equal(world.runningTasks().filter(task => task.startsWith(id)).length, 1);
	world.resume(name);
	await world.advance(5);
	first.cancel();
	await world.advance(200);
	assert.equal(world.orders.peakConcurrentRuns, 1);
});

// Guards against entries with few peers that expect frequent heartbeats from all of them and report healthy peers as lost.
test('jobs that do not involve an entry continue while it is isolated for a second', async () => {
	const names = namesOf(18);
	const world = new PooledCluster(names, 8);
	await world.startWithPeerList();
	await world.advance(9000);
	const jobs = names.slice(1).map((name, index) => ({id: `00000000000000${index + 16}`, name}));
	const submitted = jobs.map(({id: job, name}) => world.submit(name, job, {payload: '3000', declaredMilliseconds: 3000, timeoutMilliseconds: 9000}));
	await world.advance(200);
	const sentThere = new Set(world.journal.named('taskSent').filter(({owner}) => owner === 'z0-0#1').map(({task}) => String(task).slice(0, 16)));
	world.network.isolate('z0-0', true);
	await world.advance(1000);
	world.network.isolate('z0-0', false);
	await world.advance(4000);
	const unanswered = jobs.filter(({id: job}, index) => !sentThere.has(job) && submitted[index]!.verdict?.kind !== 'answered');
	assert.deepEqual(unanswered.map(({name}) => name), []);
});

/** Starts one entry after another, and has jobs run meanwhile; returns how many peers were declared lost, and how many jobs given up. */
async function startOneByOne(count: number, intervalMilliseconds: number): Promise<{readonly losses: number; readonly unanswered: number}> {
	const names = namesOf(count);
	const world = new PooledCluster(names, 16);
	const addresses = [...world.network.endpoints.values()].map(({self}) => ({address: self.peerAddress, zone: self.zone}));
	const submitted: Array<ReturnType<PooledCluster['submit']>> = [];
	for (const [index, name] of names.entries()) {
		const entry = world.entries.get(name)!;
		entry.start();
		entry.pool.addPeers(addresses.slice(0, index + 1));
		await world.advance(intervalMilliseconds);
	}

	for (let round = 0; round < 3; round += 1) {
		await world.advance(1000);
		for (const [index, name] of names.entries()) {
			const job = (round * 100) + index;
			submitted.push(world.submit(name, job.toString(16).padStart(16, '0'), {payload: '700', declaredMilliseconds: 700, timeoutMilliseconds: 5000}));
		}
	}

	await world.advance(3000);
	return {
		losses: world.journal.named('poolMemberLost').length,
		unanswered: submitted.filter(({verdict}) => verdict?.kind !== 'answered').length,
	};
}

// Guards against entries with few peers that expect frequent heartbeats of peers that have more, and declare them lost.
test('no entry is declared lost in a fleet of any size that starts at once or one entry after another', async () => {
	// In fleets of these sizes, some entries have at most as many peers as in a full mesh, and others more.
	for (const count of [14, 16, 20, 24]) {
		for (const interval of [0, 300]) {
			assert.deepEqual(await startOneByOne(count, interval), {losses: 0, unanswered: 0}, `${count} entries every ${interval} ms`);
		}
	}
});
