/** Resubmissions in fleets without a full mesh, in which other entries ask on behalf of the resubmission's entry. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {PooledCluster} from '../../support/pooled-cluster.js';

const timeoutMilliseconds = 5000;
const entriesInZone = 8;
const names = ['a', 'b', 'c'].flatMap(zone => Array.from({length: entriesInZone}, (_, index) => `${zone}-${index}`));

// Guards against "not run" for a job that ran for an entry which the resubmission's entry has no connection to.
test('a resubmission that waited for a former run of a distant entry may have run', async () => {
	const failed: string[] = [];
	let played = 0;
	for (const requester of names.slice(0, entriesInZone)) {
		const world = new PooledCluster(names, 0);
		world.addTarget('target', 'b');
		await world.startWithPeerList();
		for (const {callerTimeouts} of world.entries.values()) {
			callerTimeouts.seed('queue' as ProfileName, timeoutMilliseconds);
		}

		await world.advance(4000);
		const job = {payload: '4000', declaredMilliseconds: 1000};
		// The second job goes on, and the third takes the room of the first one, so that the resubmission finds none.
		for (const id of ['00000000000000aa', '00000000000000bb']) {
			world.submit(requester, id, {...job, timeoutMilliseconds});
			await world.advance(5);
		}

		await world.advance(1290);
		if (world.orders.starts.length < 2) {
			// The target's owner isn't connected to this requester.
			continue;
		}

		played += 1;
		world.submit('b-0', '00000000000000cc', {...job, timeoutMilliseconds});
		const second = world.submit('c-1', '00000000000000aa', {...job, timeoutMilliseconds: timeoutMilliseconds - 1300});
		await world.advance(6000);
		if (second.verdict === undefined || second.verdict.kind === 'notRun') {
			failed.push(requester);
		}
	}

	assert.deepEqual([failed, played > 0], [[], true]);
});
