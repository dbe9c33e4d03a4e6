/** Tests of text metrics that are derived from events. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CountingJournal} from '../../../src/runtime/journal/counting-journal.js';
import {TextMetrics} from '../../../src/runtime/metrics/text-metrics.js';
import {RecordingJournal} from '../../support/recording-journal.js';
import {createSnapshotMatcher} from '../../support/create-snapshot-matcher.js';

const matches = createSnapshotMatcher(import.meta.url);

test('events are counted, and durations of jobs and runs are recorded in histograms by outcome', () => {
	const metrics = new TextMetrics();
	const journal = new CountingJournal(new RecordingJournal(), metrics);
	journal.record('jobEnded', {verdict: 'answered', tookMilliseconds: 210});
	journal.record('jobEnded', {verdict: 'answered', tookMilliseconds: 90});
	journal.record('jobEnded', {verdict: 'notRun', tookMilliseconds: 9000});
	journal.record('storeAway', {});
	metrics.gauge('owned_targets', 4);
	matches('metrics text', metrics.render());
});

test('the time from a stop to the end of its run is recorded in a histogram; runs without a stop are left out', () => {
	const metrics = new TextMetrics();
	const journal = new CountingJournal(new RecordingJournal(), metrics);
	journal.record('runEnded', {outcome: 'gone', ranMilliseconds: 300, stopMilliseconds: 70});
	journal.record('runEnded', {outcome: 'gone', ranMilliseconds: 300, stopMilliseconds: undefined});
	const lines = metrics.render().split('\n').filter(line => /runStopped.*(?:le="(?:50|100)"|sum|count)/v.test(line));
	assert.deepEqual(lines, [
		'savorylock_runStopped_milliseconds_bucket{outcome="gone",le="50"} 0',
		'savorylock_runStopped_milliseconds_bucket{outcome="gone",le="100"} 1',
		'savorylock_runStopped_milliseconds_sum{outcome="gone"} 70',
		'savorylock_runStopped_milliseconds_count{outcome="gone"} 1',
	]);
});
