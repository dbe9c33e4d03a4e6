/** Single decisions of the forecast. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {JobId} from '../../../src/base/job-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {Random} from '../../../src/base/random.js';
import {Resources} from '../../../src/base/resources.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import {BacklogExchange} from '../../../src/features/backlog/backlog-exchange.js';
import {ownBacklog} from '../../../src/features/backlog/own-backlog.js';
import type {ServiceBacklog} from '../../../src/features/backlog/service-backlog.js';
import {WaitingWork} from '../../../src/features/backlog/waiting-work.js';
import {FleetForecast} from '../../../src/features/dispatch/fleet-forecast.js';
import {RunningJob} from '../../../src/features/dispatch/running-job.js';
import type {PlacementConstraints} from '../../../src/features/execution/placement-constraints.js';
import {RecordingJournal} from '../../support/recording-journal.js';
import {unconstrainedPlacement} from '../../support/unconstrained-placement.js';

const service = 'service' as ServiceName;
const queue = 'queue' as ProfileName;
const ownZone = 'a' as AvailabilityZone;
const otherZone = 'b' as AvailabilityZone;
const now = 10_000;

type JobOptions = {
	readonly id?: string;
	readonly tasks?: number;
	readonly cpuMillis?: number;
	readonly ageMilliseconds?: number;
	readonly receivedAt?: number;
	readonly expected?: number;
	readonly place?: Partial<PlacementConstraints>;
	readonly accelerators?: number;
};

/** With an expected time of 100 ms, the latest start is 120 ms after the arrival. */
function jobOf({id = 'job', tasks = 2, cpuMillis = 8000, ageMilliseconds = 0, receivedAt = now, expected = 100, place = {}, accelerators = 0}: JobOptions = {}): RunningJob {
	return new RunningJob({
		id: id as JobId,
		route: {
			queue, host: '', pathPrefix: '', service, priority: 0, attempts: 3, stretch: 1.6, slackMilliseconds: 60,
		},
		payload: '',
		shape: {
			count: tasks, need: new Resources(cpuMillis, 64, accelerators), declaredMilliseconds: expected, place: {...unconstrainedPlacement, ...place},
		},
		callerTimeoutMilliseconds: 2000,
	}, {
		receivedAt,
		ageMilliseconds,
		settle() {
			// The verdict is returned by the forecast.
		},
	}, expected);
}

/** Figures of an entry with one full target of 16 cores; `tasks` of 8 cores and 100 ms wait. */
function figuresOf(tasks: number, largestFreeCpuMillis = 0): readonly ServiceBacklog[] {
	return [{
		service, totalCpuMillis: 16_000, freeCpuMillis: largestFreeCpuMillis, largestFreeCpuMillis, endedTasks: 20, queues: tasks === 0
			? []
			: [{
				queue, tasks, cpuMillis: 8000 * tasks, coreMilliseconds: 800 * tasks, begunTasks: 0, begunCoreMilliseconds: 0, oldestMilliseconds: 100, laxityMilliseconds: 10,
			}],
	}];
}

/** An entry whose own targets are full; `peerTasks` wait at a peer in its zone. */
class Entry {
	readonly waiting = new WaitingWork();
	readonly journal = new RecordingJournal();
	isPeerFresh = true;
	freePlaces = 0;
	readonly exchange = new BacklogExchange({
		zone: ownZone, own: at => ownBacklog([{...figuresOf(0)[0]!}], this.waiting, at), isFresh: () => this.isPeerFresh,
	});

	readonly forecast = new FleetForecast({
		view: at => this.exchange.view(at), freePlaces: () => this.freePlaces, waiting: this.waiting, random: new Random(1), journal: this.journal,
	});

	hearPeer(figures: readonly ServiceBacklog[], at = now): void {
		this.exchange.receive({id: 'peer' as MemberId, zone: ownZone}, {own: figures, zones: []}, at);
	}

	hearZone(figures: readonly ServiceBacklog[], at = now): void {
		this.exchange.receive({id: 'far' as MemberId, zone: otherZone}, {own: undefined, zones: [{zone: otherZone, ageMilliseconds: 0, services: figures}]}, at);
	}

	refuses(job = jobOf(), at = job.receivedAt): boolean {
		return this.forecast.refusalOf(job, at) !== undefined;
	}
}

function entryWith(peerTasks: number): Entry {
	const entry = new Entry();
	entry.hearPeer(figuresOf(peerTasks));
	return entry;
}

test('a job is refused if the work before it takes longer than it can wait, as not run, with the figures', () => {
	const entry = entryWith(20);
	const refusal = entry.forecast.refusalOf(jobOf({id: 'late'}), now);
	assert.deepEqual({kind: refusal?.kind, cause: refusal?.cause}, {kind: 'notRun', cause: 'deadlineUnreachable'});
	const [{retryAfterMilliseconds, ...figures} = {}, ...others] = entry.journal.named('jobForecastLate');
	assert.equal(retryAfterMilliseconds, refusal!.retryAfterMilliseconds);
	assert.deepEqual([figures, others], [{
		job: 'late', queue: 'queue', tasks: 2, cpuMillis: 8000, leftMilliseconds: 120, waitMilliseconds: 500, scale: 0.8, tasksBefore: 20, coreMillisecondsBefore: 16_000,
		totalCpuMillis: 32_000, endedTasks: 40, zones: 1, oldestFigureMilliseconds: 0,
	}, []]);
});

test('a job is held if there is little work before it', () => {
	assert.equal(entryWith(4).refuses(), false);
});

// Guards against a short job that is refused because of long ones that rank behind it.
test('work that ranks behind the job does not count', () => {
	const entry = new Entry();
	entry.hearPeer([{...figuresOf(40)[0]!, queues: [{...figuresOf(40)[0]!.queues[0]!, laxityMilliseconds: 121}]}]);
	assert.equal(entry.refuses(), false);
});

test('a job is never refused while a target that could run it is free', () => {
	const entry = entryWith(20);
	entry.freePlaces = 1;
	assert.equal(entry.refuses(), false);
	entry.freePlaces = 0;
	assert.equal(entry.refuses(), true);
});

// Guards against refusals beside idle targets that only the entries of another zone know.
test('a job is held while another zone has a free target and no work that could use it', () => {
	const entry = entryWith(200);
	entry.hearZone(figuresOf(0, 9000));
	assert.deepEqual([8000, 9001].map(cpuMillis => entry.refuses(jobOf({cpuMillis}))), [false, true]);
	const full = entryWith(200);
	full.hearZone(figuresOf(200, 9000));
	assert.equal(full.refuses(), true);
});

test('a job that came before any capacity was known, has run, was submitted before or needs particular targets is held', () => {
	const early = jobOf();
	early.isBeforeCapacityKnown = true;
	const begun = jobOf();
	begun.possibleStarts = 1;
	const jobs = {
		early, begun, resubmitted: jobOf({ageMilliseconds: 40}), labelled: jobOf({place: {label: 'rack'}}), near: jobOf({place: {nearLabel: 'rack'}}), accelerated: jobOf({accelerators: 1}),
	};
	const entry = entryWith(200);
	assert.deepEqual(Object.entries(jobs).filter(([, job]) => entry.refuses(job)).map(([name]) => name), []);
});

test('a job is held while no capacity is known to the figures', () => {
	const entry = new Entry();
	const forecast = new FleetForecast({
		view: at => [{zone: ownZone, ageMilliseconds: 0, services: ownBacklog([], entry.waiting, at)}], freePlaces: () => 0, waiting: entry.waiting, random: new Random(1), journal: entry.journal,
	});
	forecast.recordWaiting(jobOf({id: 'waiting', tasks: 32}));
	assert.equal(forecast.refusalOf(jobOf(), now), undefined);
});

// Guards against refusals because of an entry that is suspended, has restarted, or was heard before a pause of this one.
test('the work of a peer counts only while the peer is heard', () => {
	const silent = entryWith(200);
	silent.isPeerFresh = false;
	const restarted = entryWith(200);
	restarted.exchange.forget('peer' as MemberId);
	const resumed = entryWith(200);
	resumed.exchange.clear();
	const old = new Entry();
	old.hearPeer(figuresOf(200), now - 3001);
	assert.deepEqual([silent, restarted, resumed, old].map(entry => entry.refuses()), [false, false, false, false]);
});

// Guards against a zone that is cut off: its capacity must not hold back refusals for longer than its figures count.
test('the capacity of a zone counts until its figures expire', () => {
	const entry = entryWith(20);
	entry.hearZone([{...figuresOf(0)[0]!, totalCpuMillis: 1_000_000}], now);
	assert.equal(entry.refuses(), false);
	entry.hearPeer(figuresOf(20), now + 3001);
	assert.equal(entry.refuses(jobOf({receivedAt: now + 3001})), true);
});

test('own waiting jobs count without any report, until they have started or ended', () => {
	const entry = new Entry();
	const jobs = Array.from({length: 6}, (_, index) => jobOf({id: `waiting-${index}`, tasks: 8, receivedAt: now - 10}));
	for (const job of jobs) {
		entry.forecast.recordWaiting(job);
	}

	assert.equal(entry.refuses(), true);
	for (const job of jobs.slice(0, 3)) {
		job.isEnded = true;
		entry.forecast.recordEnd(job, {kind: 'mayHaveRun', cause: 'stopped', detail: ''});
		// A report of a run that comes after the end of its job.
		entry.forecast.recordWaiting(job);
	}

	for (const job of jobs.slice(3)) {
		for (const state of job.tasks) {
			state.owner = 'peer' as MemberId;
			entry.forecast.recordStart(job, now);
		}
	}

	assert.equal(entry.refuses(jobOf({receivedAt: now + 50})), false);
	assert.equal(entry.waiting.services.size, 0);
});

test('retries are spread over the time after which there is capacity', () => {
	const entry = entryWith(200);
	const times = Array.from({length: 200}, (_, index) => entry.forecast.refusalOf(jobOf({id: `late-${index}`}), now)!.retryAfterMilliseconds!);
	// The backlog of 5000 ms times 0.8, less the 120 ms that the job can wait, up to the backlog later.
	assert.ok(Math.min(...times) >= 3880 && Math.min(...times) < 4100, String(Math.min(...times)));
	assert.ok(Math.max(...times) <= 7880 && Math.max(...times) > 7600, String(Math.max(...times)));
});

// Guards against a forecast that goes on refusing jobs that could have been in time.
test('starts of tasks that rank behind a refused job refute the refusal and lower the estimates', () => {
	const entry = entryWith(20);
	assert.equal(entry.refuses(jobOf({id: 'refused', tasks: 2})), true);
	const later = jobOf({id: 'later', tasks: 3, receivedAt: now + 20});
	entry.forecast.recordStart(later, now + 50);
	assert.equal(entry.forecast.calibration.refutedRefusals, 0);
	entry.forecast.recordStart(later, now + 60);
	assert.deepEqual([entry.forecast.calibration.refutedRefusals, entry.forecast.calibration.scale], [1, 0.8 * 0.8]);
	assert.deepEqual(entry.journal.named('forecastRefuted').map(({job}) => job), ['refused']);
});

test('starts that are too late, rank before the refused job or need less refute nothing', () => {
	const entry = entryWith(20);
	entry.refuses(jobOf({id: 'refused', tasks: 1}));
	entry.forecast.recordStart(jobOf({id: 'before', receivedAt: now - 1}), now + 10);
	entry.forecast.recordStart(jobOf({id: 'smaller', receivedAt: now + 5, cpuMillis: 7000}), now + 10);
	entry.forecast.recordStart(jobOf({id: 'late', receivedAt: now + 5}), now + 121);
	assert.equal(entry.forecast.calibration.refutedRefusals, 0);
});

test('free places for all tasks of a refused job refute the refusal, unless tasks wait here for them', () => {
	const entry = entryWith(20);
	entry.refuses(jobOf({id: 'refused', tasks: 2}));
	entry.freePlaces = 1;
	entry.forecast.recordFreeCapacity(now + 10);
	entry.freePlaces = 2;
	const waiting = jobOf({id: 'waiting'});
	entry.forecast.recordWaiting(waiting);
	entry.forecast.recordFreeCapacity(now + 10);
	assert.equal(entry.forecast.calibration.refutedRefusals, 0);
	entry.forecast.recordEnd(waiting, {kind: 'answered', answer: 'complete'});
	entry.forecast.recordFreeCapacity(now + 10);
	assert.equal(entry.forecast.calibration.refutedRefusals, 1);
});

test('jobs that were held in vain raise the estimates, those for which no wait was estimated are only counted', () => {
	const unserved = {kind: 'notRun', cause: 'deadlineUnreachable', detail: ''} as const;
	const entry = entryWith(4);
	const [held, answered] = [jobOf({id: 'held'}), jobOf({id: 'answered'})];
	assert.deepEqual([entry.refuses(held), entry.refuses(answered)], [false, false]);
	entry.forecast.recordEnd(held, unserved);
	entry.forecast.recordEnd(answered, {kind: 'answered', answer: 'complete'});
	assert.deepEqual([entry.forecast.calibration.unservedJobs, entry.forecast.calibration.scale], [1, 0.8 * 1.02]);
	const idle = new Entry();
	idle.refuses(held);
	idle.forecast.recordEnd(held, unserved);
	assert.deepEqual([idle.forecast.calibration.unservedJobs, idle.forecast.calibration.scale], [1, 0.8]);
});

// Guards against memory and time that grow with the number of refused jobs under overload.
test('the number of refused jobs that are observed is bounded', () => {
	const entry = entryWith(2000);
	for (let index = 0; index < 1000; index += 1) {
		entry.refuses(jobOf({id: `late-${index}`, tasks: 1}));
	}

	entry.freePlaces = 32;
	entry.forecast.recordFreeCapacity(now + 10);
	assert.equal(entry.forecast.calibration.refutedRefusals, 64);
	assert.ok(entry.forecast.calibration.scale >= 0.1);
});
