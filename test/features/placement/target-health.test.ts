/** Tests the ejection and readmission of unhealthy targets. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {TargetHealth} from '../../../src/features/placement/target-health.js';
import {RecordingJournal} from '../../support/recording-journal.js';

const ids = ['target-1', 'target-2', 'target-3', 'target-4'] as InstanceId[];

function createHealth() {
	const journal = new RecordingJournal();
	const health = new TargetHealth(journal);
	health.retain(new Set(ids));
	const report = (target: InstanceId, outcome: 'result' | 'failure' | 'lost', times = 1, {runMilliseconds = 100, now = 0} = {}) => {
		for (let index = 0; index < times; index++) {
			health.report({
				target, profile: 'flight-desk' as ProfileName, outcome, runMilliseconds, expectedMilliseconds: 100,
			}, now);
		}
	};

	return {health, journal, report};
}

test('a target that fails every task is ejected after three failures and readmitted after one probe', () => {
	// Guards against a target that fails all tasks immediately and therefore attracts most of the load.
	const {health, report} = createHealth();
	report(ids[1]!, 'result', 5);
	report(ids[0]!, 'failure', 3);
	assert.equal(health.condition(ids[0]!, 100), 'out');
	assert.equal(health.condition(ids[0]!, 2000), 'probe');
	health.beginProbe(ids[0]!);
	assert.equal(health.condition(ids[0]!, 2000), 'out');
	report(ids[0]!, 'result', 1, {now: 2100});
	assert.equal(health.condition(ids[0]!, 2100), 'fit');
});

test('a failed probe doubles the ejection period', () => {
	const {health, report} = createHealth();
	report(ids[0]!, 'lost', 3);
	health.beginProbe(ids[0]!);
	report(ids[0]!, 'lost', 1, {now: 2000});
	assert.deepEqual([health.condition(ids[0]!, 5900), health.condition(ids[0]!, 6000)], ['out', 'probe']);
});

test('a probe without a result can be repeated', () => {
	const {health, report} = createHealth();
	report(ids[0]!, 'lost', 3);
	health.beginProbe(ids[0]!);
	health.cancelProbe(ids[0]!);
	assert.equal(health.condition(ids[0]!, 2000), 'probe');
});

test('at most half of the targets of a zone are ejected', () => {
	const {health, journal, report} = createHealth();
	for (const id of ids) {
		report(id, 'lost', 3);
	}

	assert.deepEqual(ids.map(id => health.condition(id, 100)), ['out', 'out', 'fit', 'fit']);
	assert.equal(journal.named('ejectionCapped').length, 2);
});

test('a profile whose tasks fail everywhere doesn\'t eject targets', () => {
	// Guards against ejecting targets because of invalid requests.
	const {health, report} = createHealth();
	for (let round = 0; round < 10; round++) {
		for (const id of ids) {
			report(id, 'failure');
		}
	}

	assert.ok(ids.filter(id => health.condition(id, 100) === 'out').length <= 1);
});

test('a slow target isn\'t ejected', () => {
	const {health, report} = createHealth();
	report(ids[0]!, 'result', 20, {runMilliseconds: 500});
	assert.equal(health.condition(ids[0]!, 100), 'slow');
});

// Guards against ejecting healthy targets because of jobs that fail everywhere.
test('a target is ejected for failures of three jobs, but not of one job or of tasks that failed elsewhere', () => {
	const {health} = createHealth();
	const profile = 'flight-desk' as ProfileName;
	const fail = (job: string, hasFailedElsewhere: boolean) => {
		health.report({
			target: ids[0]!, profile, outcome: 'failure', runMilliseconds: 1, expectedMilliseconds: 100, job, hasFailedElsewhere,
		}, 0);
	};

	for (const id of ids) {
		health.report({
			target: id, profile, outcome: 'result', runMilliseconds: 100, expectedMilliseconds: 100,
		}, 0);
	}

	for (let failures = 0; failures < 8; failures += 1) {
		fail('hopeless', false);
		fail('other hopeless', true);
	}

	assert.equal(health.condition(ids[0]!, 0), 'fit');
	fail('second', false);
	fail('third', false);
	assert.equal(health.condition(ids[0]!, 0), 'out');
});
