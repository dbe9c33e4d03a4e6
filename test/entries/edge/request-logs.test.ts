/** What the logs tell of run requests that are repeated, delayed, or meet another run of their task. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PooledCluster} from '../../support/pooled-cluster.js';
import {createRunRequest} from '../../support/create-run-request.js';

const id = '00000000000000aa';
const task = `${id}.0.0.0`;
const job = {payload: '5000', declaredMilliseconds: 2000, timeoutMilliseconds: 4000};
const routeToOwner = 'a-1#1>b-1#1';

/** Only `b-1` has a target. */
async function createWorldWithOneOwner() {
	const world = new PooledCluster(['a-1', 'b-1', 'c-1'], 0);
	world.addTarget('b-target', 'b');
	await world.start();
	return world;
}

// Guards against logs in which a request that its sender repeated looks like one that waited on its way.
test('a request that is sent again on a new connection is logged by its sender and by the owner', async () => {
	const world = await createWorldWithOneOwner();
	world.submit('a-1', id, job);
	await world.advance(100);
	world.network.reconnect('a-1', 'b-1');
	await world.advance(100);
	const {journal} = world;
	assert.deepEqual(journal.named('taskResent'), [{task, attempt: 1, owner: 'b-1#1'}]);
	assert.deepEqual(journal.named('runNotStarted'), [{
		task, attempt: 1, requester: 'a-1#1', cause: 'repeated',
	}]);
	assert.deepEqual(journal.named('requestDelayed'), []);
});

// Guards against logs in which a request that waited on its way looks like one that was just sent.
test('a request that was on its way for long is logged with its age', async () => {
	const world = await createWorldWithOneOwner();
	world.network.linkDelays.set(routeToOwner, 300);
	world.submit('a-1', id, job);
	await world.advance(400);
	const {journal} = world;
	assert.deepEqual(journal.named('taskResent'), []);
	const [delayed, ...others] = journal.named('requestDelayed');
	assert.deepEqual(others, []);
	assert.equal(delayed?.requester, 'a-1#1');
	// Times of sending are stated in whole milliseconds.
	assert.ok(Math.abs(Number(delayed.milliseconds) - 300) <= 1, `${String(delayed.milliseconds)} ms`);
});

// Guards against a wait for a former submission's run that no log line explains.
test('a request that waits for the end of a run of another submission is logged', async () => {
	const world = await createWorldWithOneOwner();
	world.submit('a-1', id, job);
	await world.advance(100);
	world.entries.get('c-1')!.pool.send(world.entries.get('b-1')!.pool.self, {kind: 'run', request: createRunRequest(task, '100')});
	await world.advance(50);
	assert.deepEqual(world.journal.named('runNotStarted'), [{
		task, attempt: 1, requester: 'c-1#1', cause: 'waits for the end of another run of its task',
	}]);
});
