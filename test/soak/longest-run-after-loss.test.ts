/** Measure of how long runs outlast the loss of their caller's answer. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {longestRunAfterLoss} from '../../soak/longest-run-after-loss.js';

const lost = {entry: 'entry', life: 1, outcome: {kind: 'left'}} as const;
const jobs = [{
	id: 'job', tasks: 1, payload: '500', attempts: [{...lost, sentAt: 0, endedAt: 100}, {...lost, sentAt: 1400, endedAt: 3000}],
}];
const run = {
	task: 'job.0.0.0', worker: 'worker', payload: '500', how: '', attempt: 1,
};

test('a run that ended after the loss of its answer counts from the loss', () => {
	const runs = [{...run, kind: 'start', at: 50} as const, {...run, kind: 'end', at: 900} as const];
	assert.equal(longestRunAfterLoss({jobs, runs}), 800);
});

test('runs of the last submission, and runs that ended before the loss, don\'t count', () => {
	const last = [{...run, kind: 'start', at: 1500} as const, {...run, kind: 'end', at: 9000} as const];
	const early = [{...run, kind: 'start', at: 10} as const, {...run, kind: 'end', at: 90} as const];
	assert.equal(longestRunAfterLoss({jobs, runs: [...early, ...last]}), 0);
});
