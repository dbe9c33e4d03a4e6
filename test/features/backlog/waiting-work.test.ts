/** Sums of the work that waits at an entry. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {JobId} from '../../../src/base/job-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import type {WaitingJob} from '../../../src/features/backlog/waiting-job.js';
import {WaitingWork} from '../../../src/features/backlog/waiting-work.js';

const service = 'service' as ServiceName;
const job: WaitingJob = {
	queue: 'queue' as ProfileName, service, cpuMillis: 8000, expectedMilliseconds: 100, receivedAt: 1000, latestStart: 1120, weightedStart: 1270, hasBegun: false, waitingTasks: 4,
};

test('the waiting work is summed by queue', () => {
	const work = new WaitingWork();
	work.set('job-0' as JobId, job);
	work.set('job-1' as JobId, {...job, receivedAt: 1020, waitingTasks: 2});
	work.set('job-2' as JobId, {...job, queue: 'other' as ProfileName, waitingTasks: 1});
	work.set('job-3' as JobId, {...job, queue: 'elsewhere' as ProfileName, service: 'other' as ServiceName});
	assert.deepEqual(work.queuesOf(service, 1050), [
		{
			queue: 'queue', tasks: 6, cpuMillis: 48_000, coreMilliseconds: 4800, begunTasks: 0, begunCoreMilliseconds: 0, oldestMilliseconds: 50, laxityMilliseconds: 220,
		},
		{
			queue: 'other', tasks: 1, cpuMillis: 8000, coreMilliseconds: 800, begunTasks: 0, begunCoreMilliseconds: 0, oldestMilliseconds: 50, laxityMilliseconds: 220,
		},
	]);
});

test('tasks of jobs that have begun are summed apart, and the oldest job is one that has not', () => {
	const work = new WaitingWork();
	work.set('job-1' as JobId, job);
	work.set('job-2' as JobId, {...job, receivedAt: 1020, weightedStart: 1290});
	work.set('job-1' as JobId, {...job, hasBegun: true, waitingTasks: 3});
	assert.deepEqual(work.queuesOf(service, 1050), [{
		queue: 'queue', tasks: 7, cpuMillis: 56_000, coreMilliseconds: 5600, begunTasks: 3, begunCoreMilliseconds: 2400, oldestMilliseconds: 30, laxityMilliseconds: 240,
	}]);
});

// Guards against jobs that rank behind all others, since they are late, being counted as work before them.
test('late jobs are left out', () => {
	const work = new WaitingWork();
	work.set('job-4' as JobId, job);
	work.set('job-5' as JobId, {
		...job, receivedAt: 1100, latestStart: 1220, weightedStart: 1370, waitingTasks: 1,
	});
	assert.deepEqual(work.queuesOf(service, 1150).map(({tasks, oldestMilliseconds}) => ({tasks, oldestMilliseconds})), [{tasks: 1, oldestMilliseconds: 50}]);
	assert.deepEqual(work.queuesOf(service, 1300), []);
});

// Guards against sums that drift from the jobs they stand for, and against queues that are kept without jobs.
test('the sums equal those over all jobs, after any changes', () => {
	fc.assert(fc.property(fc.array(fc.record({
		key: fc.nat(5), waitingTasks: fc.nat(8), cpuMillis: fc.integer({min: 1, max: 12_000}), hasBegun: fc.boolean(),
	})), changes => {
		const work = new WaitingWork();
		const current = new Map<number, WaitingJob>();
		for (const {key, ...changed} of changes) {
			const next = {...job, ...changed};
			work.set(`job-${key}` as JobId, next);
			current.set(key, next);
		}

		const waiting = [...current.values()].filter(({waitingTasks}) => waitingTasks > 0);
		const [sums] = work.queuesOf(service, 1050);
		assert.equal(sums?.tasks ?? 0, waiting.reduce((sum, {waitingTasks}) => sum + waitingTasks, 0));
		assert.equal(sums?.cpuMillis ?? 0, waiting.reduce((sum, {waitingTasks, cpuMillis}) => sum + (waitingTasks * cpuMillis), 0));
		assert.equal(sums?.begunTasks ?? 0, waiting.filter(({hasBegun}) => hasBegun).reduce((sum, {waitingTasks}) => sum + waitingTasks, 0));
		assert.equal(work.services.size, waiting.length > 0 ? 1 : 0);
	}));
});
