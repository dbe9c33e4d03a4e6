/** Exchange of backlogs between entries, without a network. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import {BacklogExchange} from '../../../src/features/backlog/backlog-exchange.js';
import type {ServiceBacklog} from '../../../src/features/backlog/service-backlog.js';

const zoneA = 'a' as AvailabilityZone;
const zoneB = 'b' as AvailabilityZone;
const zoneC = 'c' as AvailabilityZone;

function figuresOf(tasks: number): readonly ServiceBacklog[] {
	return [{
		service: 'service' as ServiceName, totalCpuMillis: 16_000, freeCpuMillis: 1000, largestFreeCpuMillis: 1000, endedTasks: 3, queues: tasks === 0
			? []
			: [{
				queue: 'queue' as ProfileName, tasks, cpuMillis: tasks * 8000, coreMilliseconds: tasks * 800, begunTasks: 0, begunCoreMilliseconds: 0, oldestMilliseconds: 10, laxityMilliseconds: 50,
			}],
	}];
}

/** An entry whose own figures are `tasks` waiting tasks; all peers are fresh unless they are in `silent`. */
class Entry {
	readonly id: MemberId;
	tasks = 0;
	readonly silent = new Set<MemberId>();
	readonly exchange: BacklogExchange;

	constructor(name: string, readonly zone: AvailabilityZone) {
		this.id = name as MemberId;
		this.exchange = new BacklogExchange({zone, own: () => figuresOf(this.tasks), isFresh: id => !this.silent.has(id)});
	}

	/** Sends a report if one is due. */
	sendTo(receiver: Entry, now: number, delayMilliseconds = 0): boolean {
		const report = this.exchange.reportFor(receiver, now);
		if (report !== undefined) {
			receiver.exchange.receive(this, report, now - delayMilliseconds);
		}

		return report !== undefined;
	}

	/** Waiting tasks by zone. */
	view(now: number): Readonly<Record<string, number>> {
		return Object.fromEntries(this.exchange.view(now).map(({zone, services}) => [
			zone, services.flatMap(({queues}) => queues).reduce((sum, {tasks}) => sum + tasks, 0),
		]));
	}
}

function entryWith(name: string, zone: AvailabilityZone, tasks: number): Entry {
	const entry = new Entry(name, zone);
	entry.tasks = tasks;
	return entry;
}

test('a zone\'s sum reaches an entry without a connection to that zone in two hops', () => {
	const [near, far, own, relay] = [entryWith('b-1', zoneB, 3), entryWith('b-2', zoneB, 4), entryWith('a-1', zoneA, 1), entryWith('a-2', zoneA, 2)];
	near.sendTo(far, 1000);
	far.sendTo(relay, 1100);
	relay.sendTo(own, 1200);
	assert.deepEqual(own.view(1200), {a: 3, b: 7});
	assert.deepEqual(own.exchange.view(1300).map(({ageMilliseconds}) => ageMilliseconds), [0, 200]);
});

// Guards against figures that circulate among the entries of a zone after their zone was cut off.
test('a sum that was passed on once is not passed on again', () => {
	const [far, relay, own, third] = [entryWith('b-1', zoneB, 4), entryWith('a-1', zoneA, 0), entryWith('a-2', zoneA, 0), entryWith('a-3', zoneA, 0)];
	far.sendTo(relay, 1000);
	relay.sendTo(own, 1000);
	own.sendTo(third, 1000);
	assert.deepEqual(third.view(1000), {a: 0});
});

test('the figures of a zone that is cut off expire, also where they were passed on late', () => {
	const [far, relay, own] = [entryWith('b-1', zoneB, 4), entryWith('a-1', zoneA, 0), entryWith('a-2', zoneA, 0)];
	far.sendTo(relay, 1000);
	relay.sendTo(own, 3900);
	assert.deepEqual(own.view(4000), {a: 0, b: 4});
	assert.deepEqual([own.view(4001), relay.view(4001)], [{a: 0}, {a: 0}]);
});

test('a message that was under way for long counts from the time when it was sent', () => {
	const [far, own] = [entryWith('b-1', zoneB, 4), entryWith('a-1', zoneA, 0)];
	far.sendTo(own, 4000, 2500);
	assert.deepEqual([own.view(4500), own.view(4501)], [{a: 0, b: 4}, {a: 0}]);
});

// Guards against the figures of a suspended or restarted entry, which gets new work from nobody.
test('an entry that is silent, lost or restarted does not count', () => {
	const [peer, own] = [entryWith('a-1', zoneA, 4), entryWith('a-2', zoneA, 1)];
	peer.sendTo(own, 1000);
	assert.deepEqual(own.view(1000), {a: 5});
	own.silent.add(peer.id);
	assert.deepEqual(own.view(1100), {a: 1});
	own.silent.delete(peer.id);
	assert.deepEqual(own.view(1200), {a: 5});
	own.exchange.forget(peer.id);
	assert.deepEqual(own.view(1300), {a: 1});
});

// Guards against figures from before a suspension that the monotonic clock didn't count.
test('nothing that was received before a pause counts after it', () => {
	const [peer, far, own] = [entryWith('a-1', zoneA, 4), entryWith('b-1', zoneB, 2), entryWith('a-2', zoneA, 1)];
	peer.sendTo(own, 1000);
	far.sendTo(own, 1000);
	own.exchange.clear();
	assert.deepEqual(own.view(1000), {a: 1});
});

test('an older figure does not replace a newer one', () => {
	const [far, other, own] = [entryWith('b-1', zoneB, 4), entryWith('b-2', zoneB, 9), entryWith('a-1', zoneA, 0)];
	far.sendTo(own, 2000);
	other.sendTo(own, 2000, 500);
	assert.deepEqual(own.view(2000), {a: 0, b: 4});
});

// Guards against reports with each of the states that are sent in quick succession under load.
test('a peer gets reports at intervals, which are shorter while work waits', () => {
	const times = (tasks: number) => {
		const [sender, receiver] = [entryWith('a-1', zoneA, tasks), entryWith('a-2', zoneA, 0)];
		return Array.from({length: 400}, (_, index) => index * 5).filter(passed => sender.sendTo(receiver, 1000 + passed));
	};

	assert.deepEqual({idle: times(0), busy: times(1).slice(0, 4)}, {idle: [0, 900, 1800], busy: [0, 200, 400, 600]});
});

// Guards against messages and memory that grow with the number of entries, zones or queues.
test('reports are bounded for any number of queues, services, zones and entries', () => {
	const wide = (index: number): readonly ServiceBacklog[] => Array.from({length: 12}, (_, service) => ({
		...figuresOf(1)[0]!, service: `service-${service}` as ServiceName, queues: figuresOf(1)[0]!.queues.map(queue => ({...queue, queue: `queue-${index}-${service}` as ProfileName})),
	}));
	const exchange = new BacklogExchange({zone: zoneA, own: () => wide(0), isFresh: () => true});
	for (let index = 1; index <= 100; index += 1) {
		exchange.receive({id: `a-${index}` as MemberId, zone: zoneA}, {own: wide(index), zones: []}, 1000);
		const zone = `zone-${index}` as AvailabilityZone;
		exchange.receive({id: `z-${index}` as MemberId, zone}, {own: undefined, zones: [{zone, ageMilliseconds: 0, services: wide(index)}]}, 1000);
	}

	const reports = [zoneA, zoneB].map(zone => exchange.reportFor({id: 'peer' as MemberId, zone}, 1000)!);
	const sizesOf = (services: readonly ServiceBacklog[] = []) => [services.length, services.flatMap(({queues}) => queues).length];
	assert.deepEqual(reports.map(({own, zones}) => [sizesOf(own), ...zones.map(({services}) => sizesOf(services))]), [[[8, 8], [12, 12]], [[0, 0], [8, 8]]]);
	assert.equal(exchange.view(1000).length, 8);
});

test('sums of other zones are passed on in turn', () => {
	const [sender, receiver] = [entryWith('a-1', zoneA, 0), entryWith('a-2', zoneA, 0)];
	entryWith('b-1', zoneB, 4).sendTo(sender, 1000);
	entryWith('c-1', zoneC, 5).sendTo(sender, 1000);
	sender.sendTo(receiver, 1000);
	sender.sendTo(receiver, 1900);
	assert.deepEqual(receiver.view(1900), {a: 0, b: 4, c: 5});
});

// Guards against traffic that grows with the number of peers.
test('an entry with 50 peers sends about 33 reports per second', () => {
	const sender = entryWith('a-1', zoneA, 1);
	const receivers = Array.from({length: 50}, (_, index) => entryWith(`a-${index + 2}`, zoneA, 0));
	let reports = 0;
	for (let passed = 0; passed < 10_000; passed += 100) {
		for (const receiver of receivers) {
			reports += sender.sendTo(receiver, 1000 + passed) ? 1 : 0;
		}
	}

	assert.equal(reports, 7 * 50);
});
