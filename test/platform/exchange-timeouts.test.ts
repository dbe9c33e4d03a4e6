/** One timer serves the timeouts of all exchanges. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {ExchangeTimeouts} from '../../platform/exchange-timeouts.js';

// A timer that isn't moved for an earlier exchange, or isn't set again for the next one, would leave a lost order pending.
test('each exchange times out at its own time, whatever the order in which they were added, unless it was deleted', async () => {
	const timeouts = new ExchangeTimeouts();
	const startedAt = performance.now();
	const seen: Array<{readonly limit: number; readonly after: number}> = [];
	const exchanges = [60, 20, 100, 40, 20].map(limit => ({
		dueAt: startedAt + limit,
		onTimeout() {
			seen.push({limit, after: performance.now() - startedAt});
		},
	}));
	for (const exchange of exchanges) {
		timeouts.add(exchange);
	}

	timeouts.delete(exchanges[3]!);
	await wait(150);
	assert.deepEqual(seen.map(({limit}) => limit), [20, 20, 60, 100]);
	for (const {limit, after} of seen) {
		assert.ok(after >= limit, `${limit} ms timed out after ${after} ms`);
	}

	// Added after the timer has fired for the last time.
	timeouts.add({...exchanges[0]!, dueAt: performance.now() + 10});
	await wait(50);
	assert.equal(seen.length, 5);
});

test('an exchange added by the timeout of another one times out as well', async () => {
	const timeouts = new ExchangeTimeouts();
	await new Promise<void>(resolve => {
		timeouts.add({
			dueAt: performance.now() + 10,
			onTimeout() {
				timeouts.add({dueAt: performance.now() + 10, onTimeout: resolve});
			},
		});
	});
});
