/** Requests whose callers have gone before they are read to their end. */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {connect} from 'node:net';
import process from 'node:process';
import {after, test} from 'node:test';
import {JobServer} from '../../platform/job-server.js';
import type {ProfileName} from '../../src/base/profile-name.js';
import type {ServiceName} from '../../src/base/service-name.js';
import {RoutingTable} from '../../src/features/routing/routing-table.js';
import {PauseDetector} from '../../src/runtime/pause-detector.js';
import {advanceClock} from '../support/advance-clock.js';
import {PooledCluster} from '../support/pooled-cluster.js';
import {waitUntil} from '../support/wait-until.js';

const body = JSON.stringify({
	best_effort: true, spec: '20', steps: [{
		count: 1, cpu: 27_000, mem_mb: 64, est_runtime_ms: 50,
	}],
});
const head = `POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nhost: host.example\r\ncontent-length: ${body.length}\r\n\r\n`;
/** Sends all at once and ends, in a process of its own while this one stands still. */
const hangUp = 'const socket = require("node:net").connect(process.argv[1], "127.0.0.1"); socket.on("finish", () => process.exit()); socket.end(process.argv[2])';

class CountingPauses extends PauseDetector {
	calls = 0;

	override async whenResumed(): Promise<void> {
		this.calls += 1;
		return super.whenResumed();
	}
}

async function frontOfOneRoute() {
	const world = new PooledCluster(['a-1'], 2);
	await world.start();
	const routing = new RoutingTable(1500, world.clock, world.journal);
	routing.update({
		version: 1,
		bodyLimitBytes: 2000,
		routes: [{
			queue: 'queue' as ProfileName, host: 'host.example', pathPrefix: '/queue/', service: 'service' as ServiceName, priority: 0, attempts: 3, stretch: 1.6, slackMilliseconds: 60,
		}],
	}, 'store');
	const pauses = new CountingPauses(world.clock);
	const front = new JobServer({
		dispatcher: world.entries.get('a-1')!.dispatcher, routing, pauses, farFactor: 3, journal: world.journal,
	});
	await front.listen('127.0.0.1:0');
	after(() => {
		front.dispose();
	});
	return {world, pauses, port: front.port};
}

// A request is held up until its caller has submitted elsewhere: its hang-up is read a round of the event loop after the job has begun.
test('a request that comes together with its caller\'s hang-up is not begun', async () => {
	const {world, pauses, port} = await frontOfOneRoute();
	spawnSync(process.execPath, ['-e', hangUp, String(port), head + body]);
	await waitUntil(() => pauses.calls > 0);
	await advanceClock(world.clock, 200);
	assert.deepEqual([world.journal.named('jobAccepted'), world.orders.starts], [[], []]);
});

// An entry stands still between the head and the body of a request: the pause was looked for only when the head was read.
test('a request whose body is read after a pause is not begun before its caller\'s hang-up can show', async () => {
	const {world, pauses, port} = await frontOfOneRoute();
	const caller = connect(port, '127.0.0.1');
	caller.write(head);
	await waitUntil(() => pauses.calls === 1);
	world.clock.advanceWallTime(3000);
	caller.write(body);
	await waitUntil(() => pauses.calls === 2 || world.journal.named('jobAccepted').length > 0);
	caller.destroy();
	await advanceClock(world.clock, 200);
	assert.deepEqual([world.journal.named('jobAccepted'), world.orders.starts], [[], []]);
});
