/** What is concluded from losses of tasks with their targets. */
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
const life = 1 as Incarnation;
const nextLife = 2 as Incarnation;

function lossOf(target: InstanceId, status: TargetLoss['status']): TargetLoss {
	return {
		target, incarnation: life, status, tasks: [task],
	};
}

function bookOf() {
	const clock = new FakeClock();
	const book = new LossHistory(clock, new RecordingJournal());
	const told: TargetLoss[] = [];
	book.onDidRecord(loss => {
		told.push(loss);
	});
	const barred: TaskId[] = [];
	book.onDidBlockTask(lost => {
		barred.push(lost);
	});
	return {
		clock, book, told, barred,
	};
}

test('a silent target is known to have crashed once it answers in another life', () => {
	const {book, told, barred} = bookOf();
	book.record(lossOf(first!, 'silent'));
	assert.equal(book.conditionOf(task), 'suspect');
	book.record(lossOf(second!, 'silent'));
	assert.equal(book.conditionOf(task), 'suspended');
	book.recordAnswer(first!, nextLife);
	assert.equal(book.conditionOf(task), 'suspended');
	book.recordAnswer(second!, nextLife);
	assert.deepEqual([book.conditionOf(task), told.map(({status}) => status), barred.length > 0], ['hopeless', ['silent', 'silent', 'down', 'down'], true]);
});

// Half of the targets are cut off for a while. Tasks that were lost with two of them have done nothing wrong.
test('a target that answers in the same life was only cut off, and says nothing against its tasks', () => {
	const {book} = bookOf();
	book.record(lossOf(first!, 'silent'));
	book.record(lossOf(second!, 'silent'));
	book.recordAnswer(first!, life);
	book.recordAnswer(second!, life);
	assert.equal(book.conditionOf(task), 'sound');
});

// A zone is cut off just as its targets change owners. The next owner adopts what ran there and never hears of the targets before
// their leases pass; as they answer again it can't know whether they are in the same life.
test('a target that was lost before it ever answered its owner isn\'t taken for crashed when it does', () => {
	const {book} = bookOf();
	for (const target of [first!, second!]) {
		book.record({...lossOf(target, 'silent'), incarnation: undefined});
		book.recordAnswer(target, life);
	}

	assert.equal(book.conditionOf(task), 'sound');
});

test('a task that its target may never have started is held back for a moment, and never given up for it', () => {
	const {book, clock} = bookOf();
	book.record(lossOf(first!, 'unsure'));
	book.record(lossOf(second!, 'unsure'));
	assert.equal(book.conditionOf(task), 'suspended');
	book.recordAnswer(first!, nextLife);
	book.recordAnswer(second!, nextLife);
	assert.equal(book.conditionOf(task), 'suspended');
	clock.advance(6000);
	assert.equal(book.conditionOf(task), 'sound');
});

test('what another entry tells counts as well, and is not told on', () => {
	const {book, told} = bookOf();
	book.apply(lossOf(first!, 'down'));
	book.apply(lossOf(second!, 'down'));
	assert.deepEqual([book.conditionOf(task), told], ['hopeless', []]);
});

test('losses are forgotten when no caller submits the job any more', () => {
	const {book, clock} = bookOf();
	book.apply(lossOf(first!, 'down'));
	book.apply(lossOf(second!, 'down'));
	assert.equal(book.isEmpty, false);
	clock.advance(31_000);
	assert.deepEqual([book.conditionOf(task), book.isEmpty], ['sound', true]);
});
