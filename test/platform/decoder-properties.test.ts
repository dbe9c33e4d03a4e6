/** Decoders of what comes from outside, on inputs that are drawn. */
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

/** Values that look like what is expected, with parts of any other shape. */
function mixOf(fields: Readonly<Record<string, fc.Arbitrary<unknown>>>): fc.Arbitrary<unknown> {
	const loose = Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, fc.oneof(value, fc.anything())]));
	return fc.record(loose, {requiredKeys: []});
}

const number = fc.oneof(fc.integer(), fc.double());
const step = mixOf({
	count: fc.integer({min: 0, max: 300}), cpu: number, mem_mb: number, est_runtime_ms: number, data_rack: fc.string(), max_per_server: fc.integer(), after: fc.array(fc.nat()),
});

test('whatever a caller sends as a job is read or refused, and nothing throws', () => {
	fc.assert(fc.property(fc.oneof(fc.anything(), mixOf({spec: fc.string(), best_effort: fc.boolean(), steps: fc.array(step, {maxLength: 2})})), body => {
		const read = jobSchema.safeParse(body);
		assert.equal(typeof read.success, 'boolean');
	}), {seed, numRuns: runs});
});

// Other programs write among the targets' entries: whatever stands there, no target comes of it that can't be ordered.
test('a target is read only from an entry that says where it is and what it has', () => {
	const entry = mixOf({
		service: fc.string(), addr: fc.constant('10.0.0.1:80'), zone: fc.string(), state: fc.constantFrom('ready', 'draining'), seq: number, born: number, capacity: mixOf({cpu: number}), labels: fc.array(fc.string()),
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

test('any answer of a target is a report or a reply, or neither, and nothing throws', () => {
	const report = mixOf({
		born: fc.nat(), clock_ms: number, num_running: fc.array(fc.tuple(fc.string(), number)), ended: fc.array(fc.tuple(number, fc.string(), number, fc.string())),
	});
	fc.assert(fc.property(fc.oneof(fc.anything(), report), body => {
		decodeReport(body);
		decodeReply(body);
	}), {seed, numRuns: runs});
});

test('a message of a peer is read, or named as unreadable', () => {
	const row = fc.tuple(fc.nat({max: 14}), fc.anything(), fc.anything(), fc.anything()).map(parts => [...parts]);
	fc.assert(fc.property(fc.oneof(fc.anything(), fc.array(row), fc.array(fc.array(fc.anything()))), body => {
		try {
			decodeMessages(body);
		} catch (error) {
			assert.equal(error instanceof TypeError, true, String(error));
		}
	}), {seed, numRuns: runs});
});

test('a frame of a peer is read, or named as unreadable', () => {
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
