/** Encoding and decoding of pool messages. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {FencingToken} from '../../../src/base/fencing-token.js';
import type {Incarnation} from '../../../src/base/incarnation.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {cbor} from '../../../src/runtime/peers/cbor.js';
import {unconstrainedPlacement} from '../../support/unconstrained-placement.js';
import {Resources} from '../../../src/base/resources.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import type {TaskId} from '../../../src/base/task-id.js';
import type {RunRequest} from '../../../src/features/execution/run-request.js';
import {decodeFrame} from '../../../src/features/pool/decode-frame.js';
import {decodeMessages} from '../../../src/features/pool/decode-messages.js';
import {encodeFrame} from '../../../src/features/pool/encode-frame.js';
import {encodeMessages} from '../../../src/features/pool/encode-messages.js';
import {messageCode} from '../../../src/features/pool/message-code.js';
import type {PoolMessage} from '../../../src/features/pool/pool-message.js';

const service = 'service' as ServiceName;
const need = new Resources(27_000, 64, 0);
const task = 'job.0.0.0' as TaskId;
const request: RunRequest = {
	task, attempt: 1, payload: 'x'.repeat(500), need, queue: 'queue' as ProfileName, service, place: unconstrainedPlacement,
	requiresNearData: false, excludedTargets: ['target-1'], jobTaskCount: 3, expectedMilliseconds: 60,
};
const messages: readonly PoolMessage[] = [
	{
		kind: 'state', isForMonitor: true, mesh: 'full', state: {
			isLeaving: true, routingVersion: 7, demand: [{service, need}], freeCapacity: [{service, labels: ['a', 'rack-1'], room: need}, {service, labels: [], room: Resources.none}],
		},
	},
	{
		kind: 'state', isForMonitor: false, mesh: 'extended', state: {
			isLeaving: false, routingVersion: 7, demand: [], freeCapacity: [{
				service, labels: [], room: need, slowdown: 0.59,
			}, {service, labels: ['a'], room: need}],
		},
	},
	{kind: 'entries', entries: [{address: '10.0.0.1:1', zone: 'zone' as AvailabilityZone}]},
	{kind: 'run', request},
	{
		kind: 'run', request: {
			...request, task: 'job.0.0.1' as TaskId, attempt: 2, excludedTargets: [],
		},
	},
	{
		kind: 'run', request: {
			...request, task: 'other.0.0.0' as TaskId, place: {
				...unconstrainedPlacement, label: 'b', nearLabel: 'rack', farFactor: 2, maxTasksPerTarget: 3,
			}, requiresNearData: true, payload: 'other',
		},
	},
	{kind: 'run', request: {...request, millisecondsToObjective: 140}},
	{kind: 'run', request: {...request, task: 'job.0.0.1' as TaskId, millisecondsToObjective: 140}},
	// The owner treats 0 differently, so it must not be replaced by the time left of the previous run.
	{kind: 'run', request: {...request, task: 'job.0.0.2' as TaskId, millisecondsToObjective: 0}},
	{
		kind: 'report', task, attempt: 1, outcome: {kind: 'done', target: 'target-1', ranMilliseconds: 61.5},
	},
	{
		kind: 'report', task, attempt: 1, outcome: {kind: 'failed', target: 'target-1', isTargetSuspect: true},
	},
	{
		kind: 'report', task, attempt: 1, outcome: {kind: 'refused', cause: 'noRoom'},
	},
	{
		kind: 'report', task, attempt: 1, outcome: {kind: 'gone', target: 'target-1', cause: 'lapsed'},
	},
	{
		kind: 'stop', task, attempt: 1, cause: 'its job is over', unreadMilliseconds: 365,
	},
	{
		kind: 'stop', task, attempt: 1, cause: 'its job is over', unreadMilliseconds: undefined,
	},
	{
		kind: 'handover', handovers: [{target: 'target-1' as InstanceId, runs: [{request, requester: 'entry#1' as MemberId}]}], requesters: [{
			member: {
				id: 'entry#1' as MemberId, instance: 'entry' as InstanceId, zone: 'zone' as AvailabilityZone, peerAddress: '10.0.0.2:1',
			},
			silentMilliseconds: 120,
		}],
	},
	{
		kind: 'adopted', task, attempt: 1, fence: 7 as FencingToken,
	},
	{
		kind: 'adopted', task, attempt: 1, fence: undefined,
	},
	{kind: 'adoptionHeard', task, attempt: 1},
	{kind: 'lost', member: 'entry#1' as MemberId},
	{
		kind: 'loss', loss: {
			target: 'target-1' as InstanceId, incarnation: 1_700_000_000_000 as Incarnation, status: 'down', tasks: [task],
		},
	},
	{
		kind: 'loss', loss: {
			target: 'target-1' as InstanceId, incarnation: undefined, status: 'back', tasks: [],
		},
	},
	{kind: 'wantRouting'},
	{
		kind: 'routing', configuration: {
			version: 3, bodyLimitBytes: 9, routes: [{
				queue: 'queue' as ProfileName, host: 'host', pathPrefix: '/', service, priority: 0, attempts: 3, stretch: 1.6, slackMilliseconds: 60,
			}],
		},
	},
];

test('every message survives encoding and decoding', () => {
	assert.deepEqual(decodeMessages(cbor.decode(cbor.encode(encodeMessages(messages)))), messages);
});

test('a frame survives encoding and decoding with its epochs', () => {
	const frame = {
		epoch: {losses: 2, pauses: 1}, acknowledgedEpoch: {losses: 0, pauses: 3}, sentAt: 4711, skippedMilliseconds: 12, readingDelayMilliseconds: 34, messages,
	};
	assert.deepEqual(decodeFrame(cbor.decode(cbor.encode(encodeFrame(frame)))), frame);
});

// Old and new entries work together during an update: slowdowns and the time left are trailing values that an old entry neither
// sends nor reads.
test('slowdowns and the time left are absent in messages of old entries, and ignored by them', () => {
	const state = (...trailing: readonly unknown[]) => [0, false, 7, [], [['service', 27_000, 64, 0, 'a'], ['service', 9000, 64, 0]], true, ...trailing];
	const slowdownsOf = (body: readonly unknown[]) => decodeMessages([body]).flatMap(message => message.kind === 'state' ? message.state.freeCapacity.map(({slowdown}) => slowdown) : []);
	assert.deepEqual(slowdownsOf(state()), [undefined, undefined]);
	assert.deepEqual(slowdownsOf(state([])), [undefined, undefined]);
	assert.deepEqual(slowdownsOf(state([0.59, 1])), [0.59, undefined]);
	assert.deepEqual(slowdownsOf(state([0.59], undefined, 'a later value')), [0.59, undefined]);
	const capacity = {service, labels: ['a'], room: need};
	const encode = (slowdown?: number) => encodeMessages([{
		kind: 'state', isForMonitor: true, mesh: 'full', state: {
			isLeaving: false, routingVersion: 7, demand: [], freeCapacity: [slowdown === undefined ? capacity : {...capacity, slowdown}],
		},
	}])[0]!;
	assert.equal(encode().length, 6);
	assert.deepEqual(encode(1.43), [...encode(), [1.43]]);
	const run = encodeMessages([{kind: 'run', request}])[0]!;
	assert.deepEqual(encodeMessages([{kind: 'run', request: {...request, millisecondsToObjective: 9}}]), [[...run, 9]]);
	assert.deepEqual(decodeMessages([[...run, 9, 'a later value']]), [{kind: 'run', request: {...request, millisecondsToObjective: 9}}]);
});

// Guards against a value that makes the last contact with its sender not a number for good, or puts it long before or after the message.
test('times in a frame are finite, and the delay of reading lies between 0 and 1000 ms', () => {
	const bodyOf = (sentAt: unknown, skipped: unknown, delay: unknown) => [0, 0, 0, 0, [], sentAt, skipped, delay];
	for (const value of [Number.NaN, Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY]) {
		for (const body of [bodyOf(value, 0, 0), bodyOf(4711, value, 0), bodyOf(4711, 0, value)]) {
			assert.throws(() => decodeFrame(body), TypeError);
		}
	}

	const delays = [-50, 0, 230, 1000, 60_000].map(delay => decodeFrame(bodyOf(4711, 0, delay)).readingDelayMilliseconds);
	assert.deepEqual(delays, [0, 0, 230, 1000, 1000]);
});

// Guards against the same by a handover, whose descriptions of peers limit the leases of adopted runs.
test('the silence of a described peer is finite and not negative', () => {
	const decode = (silence: unknown) => decodeMessages([[messageCode.handover, [], [['entry#1', 'entry', 'zone', '10.0.0.2:1', silence]]]]);
	for (const value of [Number.NaN, Number.POSITIVE_INFINITY, undefined]) {
		assert.throws(() => decode(value), TypeError);
	}

	const [message] = decode(-50);
	assert.equal(message?.kind === 'handover' && message.requesters[0]?.silentMilliseconds, 0);
});

// Guards against bytes in every frame for a time that hardly any entry has to state, and against rejecting entries that don't state it.
test('a frame without skipped time leaves it out', () => {
	const frame = {
		epoch: {losses: 0, pauses: 0}, acknowledgedEpoch: {losses: 0, pauses: 0}, sentAt: 4711, skippedMilliseconds: 0, readingDelayMilliseconds: 0, messages,
	};
	assert.equal(encodeFrame(frame).length, 6);
	assert.deepEqual(decodeFrame(cbor.decode(cbor.encode(encodeFrame(frame)))), frame);
});

// Guards against repeating the payload, which makes up most of the bytes, for every task of a job.
test('runs of one job in a batch carry the payload once', () => {
	const runOf = (index: number) => ({kind: 'run' as const, request: {...request, task: `job.0.0.${index}` as TaskId}});
	const bytesOf = (count: number) => cbor.encode(encodeMessages(Array.from({length: count}, (_, index) => runOf(index)))).length;
	assert.equal(bytesOf(8) < 1.5 * bytesOf(1), true);
});

test('malformed messages are rejected with a description', () => {
	const detailOf = (body: unknown) => {
		try {
			decodeMessages(body);
			return 'decoded';
		} catch (error) {
			return `${(error as Error).name}: ${(error as Error).message}`;
		}
	};

	const malformed = [
		undefined, 'text', [1], [[99]], [[3, 'task', 1, []]], [[0, 'yes']], [[4, 'task', 1, 'refused', 'bored']], [[0, true, 1, [], [], true, ['fast']]], [[0, true, 1, [], [], true, [-1]]],
	];
	assert.deepEqual(malformed.map(body => detailOf(body)), [
		'TypeError: value 1 is undefined, not a list',
		'TypeError: value 1 is string, not a list',
		'TypeError: value 1 is number, not a list of lists',
		'TypeError: unknown message code 99',
		'TypeError: a nextRun message without a preceding run',
		'TypeError: value 2 is string, not a boolean',
		'TypeError: unknown refusal cause bored',
		'TypeError: value 7 is string, not a list of numbers',
		'TypeError: invalid slowdowns -1',
	]);
});
