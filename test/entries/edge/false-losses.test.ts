/** Jobs of entries that one peer wrongly declares lost. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledCluster} from '../../support/pooled-cluster.js';

const job = {payload: '3000', declaredMilliseconds: 3000, timeoutMilliseconds: 6000};

// Guards against a resumed entry whose timers run before it reads its sockets: it declares healthy peers lost, which then give up their jobs.
test('an entry that was frozen for 0.7 s does not affect jobs that it is not involved in', async () => {
	const names = ['a-1', 'b-1', 'c-1', 'd-1', 'e-1', 'f-1'];
	const world = new PooledCluster(names, 2);
	await world.start();
	const others = names.filter(name => name !== 'b-1');
	const submitted = others.map((name, index) => world.submit(name, `00000000000000c${index}`, job));
	await world.advance(200);
	assert.equal(world.journal.named('taskSent').length, 0);
	world.pause('b-1', 'frozen');
	await world.advance(700);
	world.resume('b-1', 'timers');
	await world.advance(4000);
	assert.deepEqual(submitted.map(({verdict}) => verdict?.kind), others.map(() => 'answered'));
});

// Guards against giving up jobs that run within one zone when messages to another zone are lost in one direction.
test('jobs that run within one zone survive a one-way partition of one second from another zone', async () => {
	const [left, right] = [['a-1', 'a-2', 'a-3'], ['b-1', 'b-2', 'b-3']] as const;
	const world = new PooledCluster([...left, ...right], 6);
	await world.start();
	const submitted = left.map((name, index) => world.submit(name, `00000000000000c${index}`, job));
	await world.advance(200);
	assert.equal(world.journal.named('taskSent').length, 0);
	for (const from of left) {
		for (const to of right) {
			world.network.blockedLinks.add(`${from}#1>${to}#1`);
		}
	}

	await world.advance(1000);
	world.network.blockedLinks.clear();
	await world.advance(4000);
	assert.deepEqual(submitted.map(({verdict}) => verdict?.kind), ['answered', 'answered', 'answered']);
});

// Guards against frames delayed by a partition: sent before the loss but read after it, they make it look one-sided.
test('jobs that run within one zone survive a partition that delays messages to another zone by one second', async () => {
	const names = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3'];
	const world = new PooledCluster(names, 6);
	await world.start();
	const submitted = names.map((name, index) => world.submit(name, `00000000000000c${index}`, job));
	await world.advance(200);
	assert.equal(world.journal.named('taskSent').length, 0);
	const carry = world.network.carry.bind(world.network);
	const held: Array<Parameters<typeof carry>> = [];
	world.network.carry = (from, to, message) => {
		if (to.startsWith(from.zone)) {
			carry(from, to, message);
		} else {
			held.push([from, to, structuredClone(message)]);
		}
	};

	await world.advance(1000);
	world.network.carry = carry;
	for (const frame of held) {
		carry(...frame);
	}

	await world.advance(4000);
	assert.deepEqual(submitted.map(({verdict}) => verdict?.kind), names.map(() => 'answered'));
});
