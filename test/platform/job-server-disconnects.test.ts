/** Requests whose callers disconnect before the job starts. */
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
/** Script that sends a request and disconnects; it runs in a separate process while this one is blocked. */
const sendAndDisconnect = 'const socket = require("node:net").connect(process.argv[1], "127.0.0.1"); socket.on("finish", () => process.exit()); socket.end(process.argv[2])';

class CountingPauses extends PauseDetector {
	calls = 0;

	override async whenResumed(): Promise<void> {
		this.calls += 1;
		return super.whenResumed();
	}
}

async function serveOneRoute() {
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
	const server = new JobServer({
		dispatcher: world.entries.get('a-1')!.dispatcher, routing, pauses, farFactor: 3, journal: world.journal,
	});
	await server.listen('127.0.0.1:0');
	after(() => {
		server.dispose();
	});
	return {world, pauses, port: server.port};
}

// The disconnect is read one event loop turn after the request; the caller may have resubmitted the job elsewhere.
test('a request that arrives together with the caller\'s disconnect is not run', async () => {
	const {world, pauses, port} = await serveOneRoute();
	spawnSync(process.execPath, ['-e', sendAndDisconnect, String(port), head + body]);
	await waitUntil(() => pauses.calls > 0);
	await advanceClock(world.clock, 200);
	assert.deepEqual([world.journal.named('jobAccepted'), world.orders.starts], [[], []]);
});

// A pause of the process between the head and the body of a request must be detected as well.
test('a request whose body is read after a pause is not run before a disconnect can be detected', async () => {
	const {world, pauses, port} = await serveOneRoute();
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
