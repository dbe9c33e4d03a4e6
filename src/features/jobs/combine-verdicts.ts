/** Makes one verdict of those of a job's tasks. */
import type {JobAnswer} from '../../base/job-answer.js';
import type {TaskAnswer} from '../../base/task-answer.js';
import type {Verdict} from '../../base/verdict.js';
import type {JobTask} from './job-task.js';

/**
 * The verdict as soon as it's certain, which it is when all tasks have their results, or when one has none and every
 * doubt about the others is part of the answer: a job is complete, failed, not run at all, or in doubt.
 */
export function combineVerdicts(tasks: readonly JobTask[]): Verdict<JobAnswer> | undefined {
	const bad = tasks.find(task => task.verdict !== undefined && !isResult(task.verdict));
	if (bad !== undefined) {
		return concludeBad(tasks, bad);
	}

	if (tasks.some(task => task.verdict === undefined)) {
		return undefined;
	}

	return {kind: 'answered', answer: {kind: 'complete', results: tasks.map(task => resultOf(task.verdict!))}};
}

function concludeBad(tasks: readonly JobTask[], bad: JobTask): Verdict<JobAnswer> {
	const {verdict} = bad;
	if (verdict?.kind === 'mayHaveRun') {
		return {...verdict, detail: `task ${bad.index}: ${verdict.detail}`};
	}

	// That a task failed or was refused is known; with it the job has failed, unless nothing of it ever started.
	if (verdict?.kind === 'notRun') {
		const hasStarted = tasks.some(task => task.hasStarted);
		return hasStarted
			? {kind: 'answered', answer: {kind: 'failed', taskIndex: bad.index, detail: `the task was not run: ${verdict.detail}`}}
			: {...verdict, detail: `task ${bad.index}: ${verdict.detail}`};
	}

	const detail = verdict?.kind === 'answered' && verdict.answer.kind === 'failure' ? verdict.answer.detail : '';
	return {kind: 'answered', answer: {kind: 'failed', taskIndex: bad.index, detail}};
}

function isResult(verdict: Verdict<TaskAnswer>): boolean {
	return verdict.kind === 'answered' && verdict.answer.kind === 'result';
}

function resultOf(verdict: Verdict<TaskAnswer>) {
	return verdict.kind === 'answered' && verdict.answer.kind === 'result' ? verdict.answer.value : '';
}
