/** Tests of text metrics that are derived from events. */
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
