/** Encoding of backlogs in pool messages, between entries with and without them. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import type {ServiceBacklog} from '../../../src/features/backlog/service-backlog.js';
import {decodeMessages} from '../../../src/features/pool/decode-messages.js';
import {encodeMessages} from '../../../src/features/pool/encode-messages.js';
import type {PoolMessage} from '../../../src/features/pool/pool-message.js';
import {cbor} from '../../../src/runtime/peers/cbor.js';

const services: readonly ServiceBacklog[] = [{
	service: 'service' as ServiceName, totalCpuMillis: 128_000, freeCpuMillis: 9000, largestFreeCpuMillis: 4000, endedTasks: 70, queues: [{
		queue: 'queue' as ProfileName, tasks: 5, cpuMillis: 40_000, coreMilliseconds: 5200, begunTasks: 0, begunCoreMilliseconds: 0, oldestMilliseconds: 71, laxityMilliseconds: 22,
	}],
}];
const zones = [{zone: 'zone' as AvailabilityZone, ageMilliseconds: 350, services}];
const plain = {
	kind: 'state', isForMonitor: true, mesh: 'full', state: {
		isLeaving: false, routingVersion: 7, demand: [], freeCapacity: [],
	},
} as const satisfies PoolMessage;

function roundTrip(messages: readonly PoolMessage[]): readonly PoolMessage[] {
	return decodeMessages(cbor.decode(cbor.encode(encodeMessages(messages))));
}

test('a state survives encoding and decoding with a backlog and without', () => {
	const messages: readonly PoolMessage[] = [
		{...plain, backlog: {own: services, zones}},
		{...plain, backlog: {own: undefined, zones}},
		{...plain, backlog: {own: [], zones: []}},
		plain,
		{...plain, mesh: 'bordering'},
		{...plain, mesh: 'extended', backlog: {own: services, zones}},
	];
	assert.deepEqual(roundTrip(messages), messages);
});

// Guards against a trailing value that moves those that an older entry reads.
test('the values before the backlog are those of a state without it', () => {
	const [encoded, encodedPlain] = encodeMessages([{...plain, backlog: {own: services, zones}}, plain]);
	assert.deepEqual(encoded!.slice(0, encodedPlain!.length), encodedPlain);
	assert.equal(encoded!.length, 8);
});

test('fractions are rounded, and amounts that fell below zero are sent as zero', () => {
	const odd = [{...services[0]!, freeCpuMillis: -4000, queues: [{...services[0]!.queues[0]!, coreMilliseconds: 5200.4, laxityMilliseconds: -1}]}];
	const even = [{...services[0]!, freeCpuMillis: 0, queues: [{...services[0]!.queues[0]!, laxityMilliseconds: 0}]}];
	assert.deepEqual(roundTrip([{...plain, backlog: {own: odd, zones: []}}]), [{...plain, backlog: {own: even, zones: []}}]);
});

test('values that a newer entry appends are ignored', () => {
	const [state] = encodeMessages([{...plain, backlog: {own: services, zones}}]);
	assert.deepEqual(decodeMessages([[...state!, 'extended', 'more']]), [{...plain, mesh: 'extended', backlog: {own: services, zones}}]);
});

// Guards against an update in which an entry expects frequent heartbeats that a newer one doesn't send.
test('a mesh that a newer entry may state does not count as full', () => {
	const [state] = encodeMessages([plain]);
	assert.deepEqual(decodeMessages([[...state!, [], undefined, 'another mesh']]), [{...plain, mesh: 'bordering'}]);
});

// Guards against figures that would spoil every sum they are added to.
test('a malformed backlog is rejected', () => {
	const [state] = encodeMessages([{...plain, backlog: {own: services, zones}}]);
	const detailOf = (backlog: unknown) => {
		try {
			decodeMessages([[...state!.slice(0, 7), backlog]]);
			return 'decoded';
		} catch (error) {
			return `${(error as Error).name}: ${(error as Error).message}`;
		}
	};

	assert.deepEqual([
		'text', [undefined], [[['service', Number.NaN, 0, 0, 0, []]], []], [[['service', 1, -1, 0, 0, []]], []], [[['service', 1, 1, 0, 0]], []],
	].map(backlog => detailOf(backlog)), [
		'TypeError: value 1 is string, not a list',
		'TypeError: value 2 is undefined, not a list',
		'TypeError: amount NaN in a backlog',
		'TypeError: amount -1 in a backlog',
		'TypeError: value 6 is undefined, not a list',
	]);
});
