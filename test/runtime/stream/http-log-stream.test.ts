/** Tests of the HTTP log stream against a fake log service with faults. */
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {serve} from '@hono/node-server';
import type {StreamOffset} from '../../../src/base/stream-offset.js';
import {HttpLogStream} from '../../../src/runtime/stream/http-log-stream.js';
import {LogService} from '../../../standins/log/log-service.js';
import {neverCancelled} from '../../support/never-cancelled.js';

const service = new LogService();
const first = 0 as StreamOffset;

async function openStream(): Promise<HttpLogStream> {
	return new Promise(resolve => {
		const server = serve({fetch: service.routes().fetch, hostname: '127.0.0.1', port: 0}, ({port}) => {
			resolve(new HttpLogStream(`http://127.0.0.1:${port}`, 'test'));
		});
		after(() => {
			server.close();
		});
	});
}

test('records are read in order, an append ends a waiting read, and an outage is reported', async () => {
	const stream = await openStream();
	assert.deepEqual(await stream.append('one', neverCancelled), {kind: 'appended', offset: 0});
	const waiting = stream.read(1 as StreamOffset, 5000, neverCancelled);
	await stream.append('two', neverCancelled);
	const reading = await waiting;
	assert.deepEqual(reading.kind === 'page' && reading.page, {records: [{offset: 1, body: 'two'}], firstOffset: 0, nextOffset: 2});
	service.injectFault({isDown: true});
	const down = await stream.read(first, 0, neverCancelled);
	const refused = await stream.append('three', neverCancelled);
	assert.deepEqual([down.kind, refused.kind], ['unavailable', 'notAppended']);
	service.injectFault({isDown: false});
});

test('the result of an append is unknown after a lost response, and a read resolves it', async () => {
	// Guards against reporting a definite result for a change that may or may not have been appended.
	const stream = await openStream();
	service.injectFault({lostReplies: 1});
	const appended = await stream.append('resolved', neverCancelled);
	const reading = await stream.read(first, 0, neverCancelled);
	assert.equal(appended.kind, 'unknown');
	assert.ok(reading.kind === 'page' && reading.page.records.some(record => record.body === 'resolved'));
});

test('a refused connection means that nothing was appended', async () => {
	const stream = new HttpLogStream('http://127.0.0.1:1', 'test');
	const appended = await stream.append('never', neverCancelled);
	assert.equal(appended.kind, 'notAppended');
});
