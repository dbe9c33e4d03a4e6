/** Conditions of tasks that were lost with their targets. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Incarnation} from '../../../src/base/incarnation.js';
import type {InstanceId} from '../../../src/base/instance-id.js';
import type {TaskId} from '../../../src/base/task-id.js';
import {LossHistory} from '../../../src/features/execution/loss-history.js';
import type {TargetLoss} from '../../../src/features/execution/target-loss.js';
import {FakeClock} from '../../support/fake-clock.js';
import {RecordingJournal} from '../../support/recording-journal.js';

const task = 'job.0.0.0' as TaskId;
const [first, second] = ['target-1', 'target-2'] as InstanceId[];
const incarnation = 1 as Incarnation;
const nextIncarnation = 2 as Incarnation;

function lossOf(target: InstanceId, status: TargetLoss['status']): TargetLoss {
	return {
		target, incarnation, status, tasks: [task],
	};
}

function createHistory() {
	const clock = new FakeClock();
	const history = new LossHistory(clock, new RecordingJournal());
	const recorded: TargetLoss[] = [];
	history.onDidRecord(loss => {
		recorded.push(loss);
	});
	const blocked: TaskId[] = [];
	history.onDidBlockTask(lost => {
		blocked.push(lost);
	});
	return {
		clock, history, recorded, blocked,
	};
}

test('a silent target counts as crashed once it answers as another incarnation', () => {
	const {history, recorded, blocked} = createHistory();
	history.record(lossOf(first!, 'silent'));
	assert.equal(history.conditionOf(task), 'suspect');
	history.record(lossOf(second!, 'silent'));
	assert.equal(history.conditionOf(task), 'suspended');
	history.recordAnswer(first!, nextIncarnation);
	assert.equal(history.conditionOf(task), 'suspended');
	history.recordAnswer(second!, nextIncarnation);
	assert.deepEqual([history.conditionOf(task), recorded.map(({status}) => status), blocked.length > 0], ['hopeless', ['silent', 'silent', 'down', 'down'], true]);
});

// Tasks must not be blocked because their targets were unreachable for a while.
test('a target that answers as the same incarnation does not count against its tasks', () => {
	const {history} = createHistory();
	history.record(lossOf(first!, 'silent'));
	history.record(lossOf(second!, 'silent'));
	history.recordAnswer(first!, incarnation);
	history.recordAnswer(second!, incarnation);
	assert.equal(history.conditionOf(task), 'sound');
});

// An owner that adopted runs may lose the target before its first answer; it can't detect a restart then.
test('a target that was lost before its first answer to the owner does not count as crashed', () => {
	const {history} = createHistory();
	for (const target of [first!, second!]) {
		history.record({...lossOf(target, 'silent'), incarnation: undefined});
		history.recordAnswer(target, incarnation);
	}

	assert.equal(history.conditionOf(task), 'sound');
});

test('losses before a confirmed start suspend a task temporarily, and never make it hopeless', () => {
	const {history, clock} = createHistory();
	history.record(lossOf(first!, 'unsure'));
	history.record(lossOf(second!, 'unsure'));
	assert.equal(history.conditionOf(task), 'suspended');
	history.recordAnswer(first!, nextIncarnation);
	history.recordAnswer(second!, nextIncarnation);
	assert.equal(history.conditionOf(task), 'suspended');
	clock.advance(6000);
	assert.equal(history.conditionOf(task), 'sound');
});

test('reports of other entries count, and are not forwarded', () => {
	const {history, recorded} = createHistory();
	history.apply(lossOf(first!, 'down'));
	history.apply(lossOf(second!, 'down'));
	assert.deepEqual([history.conditionOf(task), recorded], ['hopeless', []]);
});

test('losses expire', () => {
	const {history, clock} = createHistory();
	history.apply(lossOf(first!, 'down'));
	history.apply(lossOf(second!, 'down'));
	assert.equal(history.isEmpty, false);
	clock.advance(31_000);
	assert.deepEqual([history.conditionOf(task), history.isEmpty], ['sound', true]);
});
