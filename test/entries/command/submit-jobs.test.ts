/** Submission of jobs that are read as JSON lines. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import {after, test} from 'node:test';
import {submitJobs} from '../../../src/entries/command/submit-jobs.js';

/** Starts an entry that answers each job, and returns the payloads it received. */
async function startEntry() {
	const payloads: unknown[] = [];
	const server = createServer((request, response) => {
		request.setEncoding('utf8');
		let body = '';
		request.on('data', (text: string) => {
			body += text;
		});
		request.on('end', () => {
			payloads.push((JSON.parse(body) as {readonly payload: unknown}).payload);
			response.writeHead(200, {'savorylock-verdict': 'answered'});
			response.end('{}');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	after(() => {
		server.close();
	});
	return {payloads, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`};
}

async function submit(lines: Uint8Array) {
	const {payloads, url} = await startEntry();
	const verdicts: string[] = [];
	await submitJobs(url, Readable.from([lines]), line => {
		verdicts.push((JSON.parse(line) as {readonly verdict: string}).verdict);
	});
	return {payloads, verdicts};
}

// Guards against a job that is cut at a character that is no line break in JSON, and against a file's byte order mark.
test('jobs are submitted with the payloads of their lines', async () => {
	const payloads = ['\uFEFFa', '\u2028b', 'caf\u00E9\u0085', '\uD83D'];
	const lines = payloads.map(payload => `${JSON.stringify({payload})}\r\n`);
	const sent = await submit(Buffer.from(`\uFEFF${lines.join('')}`));
	assert.deepEqual([new Set(sent.payloads), sent.verdicts], [new Set(payloads), payloads.map(() => 'answered')]);
});

// Guards against a job that is submitted with another payload than its line states, because its text was repaired.
test('a line that is not UTF-8 is not submitted, the others are', async () => {
	const sent = await submit(Buffer.concat([Buffer.from('{"payload":"caf'), Buffer.from([0xE9]), Buffer.from('"}\n{"payload":"tea"}\n')]));
	assert.deepEqual(sent, {payloads: ['tea'], verdicts: ['not-run', 'answered']});
});
