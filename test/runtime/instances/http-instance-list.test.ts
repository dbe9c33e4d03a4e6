/** Tests of the HTTP instance list against a fake service. */
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {serve} from '@hono/node-server';
import {SystemClock} from '../../../src/base/system-clock.js';
import {HttpInstanceList} from '../../../src/runtime/instances/http-instance-list.js';
import type {InstanceSnapshot} from '../../../src/runtime/instances/instance-snapshot.js';
import {InstanceService} from '../../../standins/instances/instance-service.js';
import {RecordingJournal} from '../../support/recording-journal.js';

test('an invalid row is skipped and logged, and the valid rows are listed', async () => {
	const service = new InstanceService();
	service.set('target-1', {
		id: 'target-1', kind: 'target', zone: 'zone-1', address: '127.0.0.1:1', state: 'live',
	});
	service.set('broken', {id: 'broken', kind: 'toaster'});
	const url = await new Promise<string>(resolve => {
		const server = serve({fetch: service.routes().fetch, hostname: '127.0.0.1', port: 0}, ({port}) => {
			resolve(`http://127.0.0.1:${port}`);
		});
		after(() => {
			server.close();
		});
	});
	const journal = new RecordingJournal();
	const list = new HttpInstanceList(url, new SystemClock(), journal);
	after(() => {
		list.dispose();
	});
	const snapshot = await new Promise<InstanceSnapshot>(resolve => {
		list.onDidRead(resolve);
		list.start();
	});
	assert.deepEqual(snapshot.instances.map(({id}) => id), ['target-1']);
	assert.equal(journal.named('instanceUnreadable').length, 1);
});
