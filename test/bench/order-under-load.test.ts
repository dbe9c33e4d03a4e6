/** Order and refusal under load that is more than there is room for, in a model without network. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {deskClasses} from '../../bench/model/desk-classes.js';
import {drawTraffic} from '../../bench/model/draw-traffic.js';
import type {ModelPolicy} from '../../bench/model/model-policy.js';
import {ArrivalOrder} from '../../bench/model/policies/arrival-order.js';
import {InUse} from '../../bench/model/policies/in-use.js';
import {NearestDeadline} from '../../bench/model/policies/nearest-deadline.js';
import {ShortestFirst} from '../../bench/model/policies/shortest-first.js';
import {PoolModel} from '../../bench/model/pool-model.js';
import {summarize} from '../../bench/model/summarize.js';

const slots = 75;
/** What the desks' traffic needs at a factor of 1, in places. */
const places = 55.4;

function play(policy: ModelPolicy, load: number, seed = 1) {
	const traffic = drawTraffic({
		classes: deskClasses, seed, milliseconds: 60_000, factor: load * slots / places,
	});
	return summarize(new PoolModel(slots, policy).play(traffic));
}

test('a seed always gives the same traffic and outcomes', () => {
	assert.deepEqual(play(new InUse(), 1), play(new InUse(), 1));
	assert.notDeepEqual(play(new InUse(), 1), play(new InUse(), 1, 2));
});

test('with room to spare every job is answered, and nearly all in time', () => {
	const {worth, refused} = play(new InUse(), 0.5);
	assert.deepEqual([refused < 0.001, worth > 0.99], [true, true]);
});

// Two minutes of bursts over a pool that is full: jobs that wait in the order of arrival are all late, and callers get next
// to nothing from work that is done all the same. The nearest objective first starves what is urgent; the least work first
// starves what is long.
test('in an overload the order in use earns at least what each order earns that an entry could follow instead', () => {
	for (const load of [1, 1.2]) {
		const inUse = play(new InUse(), load).worth;
		const others = [new ArrivalOrder(), new NearestDeadline(), new ShortestFirst()].map(policy => play(policy, load).worth);
		assert.equal(others.every(worth => worth <= inUse + 0.01), true, `${load}: ${inUse} against ${others.join(', ')}`);
	}
});

test('no class is left without service at a fifth over the room', () => {
	assert.equal(play(new InUse(), 1.2).worstClass > 0.25, true);
});
