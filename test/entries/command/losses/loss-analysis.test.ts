/** Attribution of lost jobs to reasons, from log lines as entries write them. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LogLine} from '../../../../src/entries/command/log-line.js';
import {LossAnalysis} from '../../../../src/entries/command/losses/loss-analysis.js';

type Fields = LogLine['fields'];

const job = '5c0e7a21d94b36f8';
const task = `${job}.0.0.0`;

function line(at: number, event: string, fields: Fields): LogLine {
	return {
		source: 'entry.log', at, event, fields,
	};
}

function accepted(at: number, fields: Fields = {}): LogLine {
	return line(at, 'jobAccepted', {
		job, queue: 'quick', tasks: 1, expectedMilliseconds: 60, objectiveMilliseconds: 156, patienceMilliseconds: 1500, ...fields,
	});
}

function started(at: number, {attempt = 1, target = 't-1', of = task, room = 64_000}: {attempt?: number; target?: string; of?: string; room?: number} = {}): LogLine {
	return line(at, 'runStarted', {
		task: of, attempt, target, roomCpuMillis: room, cpuMillis: 27_000, requester: 'e-1',
	});
}

function ended(at: number, outcome: string, {attempt = 1, target = 't-1', of = task, cause, ran = 60}: {attempt?: number; target?: string; of?: string; cause?: string; ran?: number} = {}): LogLine {
	return line(at, 'runEnded', {
		task: of, attempt, target, outcome, cause, ranMilliseconds: ran,
	});
}

function answered(at: number, verdict = 'answered', detail = 'complete'): LogLine {
	return line(at, 'jobEnded', {job, verdict, detail});
}

/** The total weight of each reason, in hundredths of a job. */
function reasonsOf(lines: readonly LogLine[]): Readonly<Record<string, number>> {
	const analysis = new LossAnalysis(2000);
	for (const one of lines) {
		analysis.add(one);
	}

	const reasons: Record<string, number> = {};
	for (const slice of analysis.finish()) {
		for (const [reason, lost] of slice.reasons) {
			reasons[reason] = (reasons[reason] ?? 0) + Math.round(lost * 100);
		}
	}

	return reasons;
}

const otherTask = 'aaaaaaaaaaaaaaaa.0.0.0';
const scenarios: Readonly<Record<string, readonly LogLine[]>> = {
	waitedForRoom: [started(0, {of: otherTask, room: 30_000}), accepted(10), started(310), ended(370, 'done'), answered(370)],
	waitedBesideIdleRoom: [started(0, {of: otherTask}), accepted(10), started(310), ended(370, 'done'), answered(370)],
	onTheWay: [accepted(10), line(10, 'taskSent', {task, attempt: 1, owner: 'e-2'}), started(310), ended(370, 'done'), answered(370)],
	refusedByOwner: [
		accepted(10), line(10, 'taskSent', {task, attempt: 1, owner: 'e-2'}), ended(300, 'refused', {cause: 'noRoom'}), started(300, {attempt: 2}), ended(360, 'done', {attempt: 2}), answered(360),
	],
	orderUnanswered: [
		accepted(10),
		started(10),
		line(160, 'runStopped', {task, attempt: 1, cause: 'start without an answer'}),
		ended(300, 'gone', {cause: 'start without an answer'}),
		started(300, {attempt: 2}),
		ended(360, 'done', {attempt: 2}),
		answered(360),
	],
	slowTarget: [
		accepted(10), started(10), line(210, 'runStopped', {task, attempt: 1, cause: 'overdue'}), ended(260, 'gone', {cause: 'overdue'}), started(260, {attempt: 2}), ended(320, 'done', {attempt: 2}), answered(320),
	],
	longRun: [accepted(10), started(10), ended(310, 'done', {ran: 90}), answered(310)],
	runFailed: [accepted(10), started(10), ended(200, 'failed'), started(200, {attempt: 2}), ended(260, 'done', {attempt: 2}), answered(260)],
	targetLost: [accepted(10), started(10), ended(900, 'gone', {cause: 'lease passed on a target that does not answer'}), started(900, {attempt: 2}), ended(960, 'done', {attempt: 2}), answered(960)],
	ownerLost: [accepted(10), line(10, 'taskSent', {task, attempt: 1, owner: 'e-2'}), started(10), answered(830, 'mayHaveRun', 'executorLost: e-2 is lost')],
	resubmitted: [accepted(10), accepted(1310), started(1310), ended(1370, 'done'), answered(1370)],
	refusedByForecast: [accepted(10), answered(10, 'notRun', 'deadlineUnreachable: no capacity in time by the forecast')],
	unexplained: [accepted(10), answered(10, 'mayHaveRun', 'stopped: the entry ends')],
};

for (const [reason, lines] of Object.entries(scenarios)) {
	test(`a job lost to ${reason} is attributed to it`, () => {
		assert.deepEqual(reasonsOf(lines), {[reason]: 100});
	});

	test(`without the line that shows ${reason} the attribution differs`, () => {
		const decisive: Readonly<Record<string, number>> = {
			waitedForRoom: 2, waitedBesideIdleRoom: 0, onTheWay: 1, refusedByOwner: 2, orderUnanswered: 2, slowTarget: 2, longRun: 2, runFailed: 2, targetLost: 2, ownerLost: 3, resubmitted: 0, refusedByForecast: 1, unexplained: 1,
		};
		// The cause of a stop is repeated in the line of the run's end.
		const remaining = lines.filter((one, index) => index !== decisive[reason] && (one.event !== 'runEnded' || one.fields.cause !== lines[decisive[reason]!]!.fields.cause || one.fields.cause === undefined));
		assert.notDeepEqual(reasonsOf(remaining), {[reason]: 100});
	});
}

test('a target that is slow with other jobs too is distinguished from a single long run', () => {
	const others = Array.from({length: 10}, (_, index) => index * 400).flatMap(at => [
		accepted(at, {job: `bbbbbbbbbbbbbb${at / 400}0`, objectiveMilliseconds: 1000}), started(at, {of: `bbbbbbbbbbbbbb${at / 400}0.0.0.0`}), ended(at + 300, 'done', {of: `bbbbbbbbbbbbbb${at / 400}0.0.0.0`, ran: 300}),
	]);
	const reasons = reasonsOf([...others, accepted(4010), started(4010), ended(4310, 'done', {ran: 300}), answered(4310)]);
	assert.equal(reasons.longRun, undefined);
	assert.equal((reasons.slowTarget ?? 0) >= 100, true);
});

test('each job is counted once by its outcome, and the reasons add up to the number of lost jobs', () => {
	const analysis = new LossAnalysis(1000);
	const outcomes = [['answered', 'complete'], ['answered', 'complete'], ['notRun', 'deadlineUnreachable: no room in time'], ['mayHaveRun', 'executorLost: e-2 is lost'], undefined] as const;
	for (const [index, outcome] of outcomes.entries()) {
		const id = `cccccccccccccc0${index}`;
		analysis.add(accepted(index * 10, {job: id}));
		if (outcome !== undefined) {
			analysis.add(line((index * 10) + (index === 1 ? 400 : 100), 'jobEnded', {job: id, verdict: outcome[0], detail: outcome[1]}));
		}
	}

	const [slice] = analysis.finish();
	const reasons = [...slice!.reasons.values()].reduce((sum, part) => sum + part, 0);
	assert.deepEqual({counts: slice!.counts, reasons: Math.round(reasons)}, {
		counts: {
			inTime: 1, late: 1, refused: 1, givenUp: 1, unanswered: 1,
		}, reasons: 4,
	});
});
