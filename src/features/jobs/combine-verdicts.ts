/** Combines task verdicts into a job verdict. */
import type {JobAnswer} from '../../base/job-answer.js';
import type {TaskAnswer} from '../../base/task-answer.js';
import type {Verdict} from '../../base/verdict.js';
import type {JobTask} from './job-task.js';

/**
 * The job's verdict, or undefined while it is undecided. A job is decided once all tasks have results, or once any task has
 * ended without one.
 */
export function combineVerdicts(tasks: readonly JobTask[]): Verdict<JobAnswer> | undefined {
	const unsuccessful = tasks.find(task => task.verdict !== undefined && !isResult(task.verdict));
	if (unsuccessful !== undefined) {
		return combineUnsuccessful(tasks, unsuccessful);
	}

	if (tasks.some(task => task.verdict === undefined)) {
		return undefined;
	}

	return {kind: 'answered', answer: {kind: 'complete', results: tasks.map(task => resultOf(task.verdict!))}};
}

function combineUnsuccessful(tasks: readonly JobTask[], unsuccessful: JobTask): Verdict<JobAnswer> {
	const {verdict} = unsuccessful;
	if (verdict?.kind === 'mayHaveRun') {
		return {...verdict, detail: `task ${unsuccessful.index}: ${verdict.detail}`};
	}

	// A refused task fails the job, unless none of its tasks has started.
	if (verdict?.kind === 'notRun') {
		const hasStarted = tasks.some(task => task.hasStarted);
		return hasStarted
			? {kind: 'answered', answer: {kind: 'failed', taskIndex: unsuccessful.index, detail: `the task was not run: ${verdict.detail}`}}
			: {...verdict, detail: `task ${unsuccessful.index}: ${verdict.detail}`};
	}

	const detail = verdict?.kind === 'answered' && verdict.answer.kind === 'failure' ? verdict.answer.detail : '';
	return {kind: 'answered', answer: {kind: 'failed', taskIndex: unsuccessful.index, detail}};
}

function isResult(verdict: Verdict<TaskAnswer>): boolean {
	return verdict.kind === 'answered' && verdict.answer.kind === 'result';
}

function resultOf(verdict: Verdict<TaskAnswer>) {
	return verdict.kind === 'answered' && verdict.answer.kind === 'result' ? verdict.answer.value : '';
}
