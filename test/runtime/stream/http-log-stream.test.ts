/** The log's interface: the adapter against the stand-in, with its faults. */
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {serve} from '@hono/node-server';
import type {StreamOffset} from '../../../src/base/stream-offset.js';
import {HttpLogStream} from '../../../src/runtime/stream/http-log-stream.js';
import {LogService} from '../../../standins/log/log-service.js';
import {neverCancelled} from '../../support/never-cancelled.js';

const service = new LogService();
const first = 0 as StreamOffset;

async function streamOf(): Promise<HttpLogStream> {
	return new Promise(resolve => {
		const server = serve({fetch: service.routes().fetch, hostname: '127.0.0.1', port: 0}, ({port}) => {
			resolve(new HttpLogStream(`http://127.0.0.1:${port}`, 'test'));
		});
		after(() => {
			server.close();
		});
	});
}

test('records come back in order, a waiting read ends with the append, and an outage is told', async () => {
	const stream = await streamOf();
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

test('a lost reply leaves the append unknown, and a read settles it', async () => {
	// The log takes an operator's change and its reply is lost: neither "done" nor "not done" would be true.
	const stream = await streamOf();
	service.injectFault({lostReplies: 1});
	const appended = await stream.append('settled', neverCancelled);
	const reading = await stream.read(first, 0, neverCancelled);
	assert.equal(appended.kind, 'unknown');
	assert.ok(reading.kind === 'page' && reading.page.records.some(record => record.body === 'settled'));
});

test('a port that refuses proves that nothing was appended', async () => {
	const stream = new HttpLogStream('http://127.0.0.1:1', 'test');
	const appended = await stream.append('never', neverCancelled);
	assert.equal(appended.kind, 'notAppended');
});
