/** Order and expiry of waiting jobs under overload. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JobId} from '../../../src/base/job-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {Resources} from '../../../src/base/resources.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import {LeastLaxity} from '../../../src/features/dispatch/least-laxity.js';
import {unconstrainedPlacement} from '../../support/unconstrained-placement.js';
import {RunningJob} from '../../../src/features/dispatch/running-job.js';

type JobOptions = {readonly name: string; readonly tasks: number; readonly started: number; readonly expected: number; readonly receivedAt: number; readonly priority?: number};

function jobOf({name, tasks, started, expected, receivedAt, priority = 0}: JobOptions): RunningJob {
	const job = new RunningJob({
		id: name as JobId,
		route: {
			queue: 'q' as ProfileName, host: '', pathPrefix: '', service: 's' as ServiceName, priority, attempts: 3, stretch: 1.6, slackMilliseconds: 60,
		},
		payload: '',
		shape: {
			count: tasks, need: Resources.none, declaredMilliseconds: expected, place: unconstrainedPlacement,
		},
		callerTimeoutMilliseconds: 5000,
	}, {
		receivedAt,
		settle() {
			// The verdict is not checked.
		},
	}, expected);
	for (const slot of job.tasks.slice(0, started)) {
		slot.isDone = true;
		job.possibleStarts += 1;
	}

	return job;
}

test('started jobs that can meet their objective come first, then the least laxity; late jobs come last unless nearly done', () => {
	const now = 1000;
	const jobs = [
		jobOf({
			name: 'late, half done', tasks: 8, started: 4, expected: 60, receivedAt: 700,
		}),
		jobOf({
			name: 'long, fresh', tasks: 4, started: 0, expected: 900, receivedAt: 900,
		}),
		jobOf({
			name: 'late, nearly done', tasks: 8, started: 7, expected: 60, receivedAt: 700,
		}),
		jobOf({
			name: 'short, fresh', tasks: 8, started: 0, expected: 60, receivedAt: 990,
		}),
		jobOf({
			name: 'short, begun', tasks: 8, started: 2, expected: 60, receivedAt: 990,
		}),
		jobOf({
			name: 'short, fresh, older', tasks: 8, started: 0, expected: 60, receivedAt: 950,
		}),
	];
	const order = new LeastLaxity();
	const sorted = jobs.map(job => ({name: job.job.id, rank: order.rank(job, now)})).sort((left, right) => left.rank - right.rank);
	assert.deepEqual(sorted.map(({name}) => name), ['short, begun', 'late, nearly done', 'short, fresh, older', 'short, fresh', 'long, fresh', 'late, half done']);
});

test('an unstarted job expires when it would miss its objective, a started one when its answer becomes useless', () => {
	const fresh = jobOf({
		name: 'fresh', tasks: 8, started: 0, expected: 100, receivedAt: 0,
	});
	const begun = jobOf({
		name: 'begun', tasks: 8, started: 1, expected: 100, receivedAt: 0,
	});
	const placed = jobOf({
		name: 'placed', tasks: 8, started: 8, expected: 100, receivedAt: 0,
	});
	assert.deepEqual([fresh.expiresAt, begun.expiresAt, placed.expiresAt], [120, 560, 5000]);
});

// Guards against an urgent job with more laxity waiting behind a burst from a less urgent queue.
test('an urgent job precedes less urgent ones of the same age, but not one that has waited long', () => {
	const now = 1000;
	const jobs = [
		jobOf({
			name: 'less urgent', tasks: 2, started: 0, expected: 60, receivedAt: 990, priority: 1,
		}),
		jobOf({
			name: 'urgent', tasks: 2, started: 0, expected: 200, receivedAt: 995, priority: 0,
		}),
		jobOf({
			name: 'less urgent, waited long', tasks: 2, started: 0, expected: 200, receivedAt: 820, priority: 1,
		}),
	];
	const order = new LeastLaxity();
	const sorted = jobs.map(job => ({name: job.job.id, rank: order.rank(job, now)})).sort((left, right) => left.rank - right.rank);
	assert.deepEqual(sorted.map(({name}) => name), ['less urgent, waited long', 'urgent', 'less urgent']);
});
