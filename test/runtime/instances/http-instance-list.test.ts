/** The instance list's interface: the adapter against the stand-in. */
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {serve} from '@hono/node-server';
import {SystemClock} from '../../../src/base/system-clock.js';
import {HttpInstanceList} from '../../../src/runtime/instances/http-instance-list.js';
import type {InstanceSnapshot} from '../../../src/runtime/instances/instance-snapshot.js';
import {InstanceService} from '../../../standins/instances/instance-service.js';
import {RecordingJournal} from '../../support/recording-journal.js';

test('rows are read, and one that can\'t be read hides no other', async () => {
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
