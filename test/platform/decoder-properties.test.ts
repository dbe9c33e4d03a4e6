/** Property tests of the decoders of external input. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {decodeReport} from '../../platform/decode-report.js';
import {decodeReply} from '../../platform/decode-reply.js';
import {decodeTarget} from '../../platform/decode-target.js';
import {jobSchema} from '../../platform/job-schema.js';
import {decodeFrame} from '../../src/features/pool/decode-frame.js';
import {decodeMessages} from '../../src/features/pool/decode-messages.js';

const seed = 7;
const runs = 500;

/** Objects in which each field is missing, valid or arbitrary. */
function partialOf(fields: Readonly<Record<string, fc.Arbitrary<unknown>>>): fc.Arbitrary<unknown> {
	const loose = Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, fc.oneof(value, fc.anything())]));
	return fc.record(loose, {requiredKeys: []});
}

const number = fc.oneof(fc.integer(), fc.double());
const step = partialOf({
	count: fc.integer({min: 0, max: 300}), cpu: number, mem_mb: number, est_runtime_ms: number, data_rack: fc.string(), max_per_server: fc.integer(), after: fc.array(fc.nat()),
});

test('the job schema accepts or rejects any input without throwing', () => {
	fc.assert(fc.property(fc.oneof(fc.anything(), partialOf({spec: fc.string(), best_effort: fc.boolean(), steps: fc.array(step, {maxLength: 2})})), body => {
		const read = jobSchema.safeParse(body);
		assert.equal(typeof read.success, 'boolean');
	}), {seed, numRuns: runs});
});

// Other programs may write malformed records into the target list; none may become a target that can't be called.
test('a decoded target has a valid address and capacity', () => {
	const entry = partialOf({
		service: fc.string(), addr: fc.constant('10.0.0.1:80'), zone: fc.string(), state: fc.constantFrom('ready', 'draining'), seq: number, born: number, capacity: partialOf({cpu: number}), labels: fc.array(fc.string()),
	});
	fc.assert(fc.property(fc.string(), fc.oneof(fc.json(), entry.map(value => JSON.stringify(value) ?? '')), (id, text) => {
		const decoded = decodeTarget(id, Buffer.from(text));
		if (decoded.kind === 'target') {
			const {address, capacity} = decoded.record;
			assert.match(address, /^[\d.]+:\d+$/v);
			assert.equal(capacity.cpuMillis >= 0 && capacity.memoryMegabytes >= 0, true);
		}
	}), {seed, numRuns: runs});
});

test('decoding any response of a target does not throw', () => {
	const report = partialOf({
		born: fc.nat(), clock_ms: number, num_running: fc.array(fc.tuple(fc.string(), number)), ended: fc.array(fc.tuple(number, fc.string(), number, fc.string())),
	});
	fc.assert(fc.property(fc.oneof(fc.anything(), report), body => {
		decodeReport(body);
		decodeReply(body);
	}), {seed, numRuns: runs});
});

test('decoding any message of a peer succeeds or throws a TypeError', () => {
	const row = fc.tuple(fc.nat({max: 14}), fc.anything(), fc.anything(), fc.anything()).map(parts => [...parts]);
	fc.assert(fc.property(fc.oneof(fc.anything(), fc.array(row), fc.array(fc.array(fc.anything()))), body => {
		try {
			decodeMessages(body);
		} catch (error) {
			assert.equal(error instanceof TypeError, true, String(error));
		}
	}), {seed, numRuns: runs});
});

test('decoding any frame of a peer succeeds or throws a TypeError', () => {
	const row = fc.tuple(fc.nat({max: 14}), fc.anything(), fc.anything()).map(parts => [...parts]);
	const frame = fc.tuple(fc.nat(), fc.nat(), fc.oneof(fc.nat(), fc.anything()), fc.nat(), fc.array(row)).map(parts => [...parts]);
	fc.assert(fc.property(fc.oneof(fc.anything(), frame), body => {
		try {
			decodeFrame(body);
		} catch (error) {
			assert.equal(error instanceof TypeError, true, String(error));
		}
	}), {seed, numRuns: runs});
});
