/** Maps verdicts to HTTP responses. */
import {match} from 'ts-pattern';
import type {JobAnswer} from '../../base/job-answer.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import {statusOf} from './status-of.js';

const verdictLabels = {answered: 'answered', notRun: 'not-run', mayHaveRun: 'may-have-run'};
/** Retry delay for causes after which a retry with the same id may return the verdict. */
const uncertainRetryAfterSeconds = 2;
const retryableCauses: ReadonlySet<string> = new Set(['homeUnreachable', 'cannotVouch', 'waitExpired']);

/** The results as JSON, or problem details (RFC 9457) that state whether the job may have run. */
export function responseOf(id: SubmissionId | undefined, verdict: Verdict<JobAnswer>): Response {
	const headers = new Headers({'savorylock-verdict': verdictLabels[verdict.kind]});
	const retryAfter = retryAfterSeconds(verdict);
	if (retryAfter !== undefined) {
		headers.set('retry-after', String(retryAfter));
	}

	const status = statusOf(verdict);
	if (verdict.kind === 'answered' && verdict.answer.kind === 'complete') {
		return respond(status, headers, 'application/json', {id, verdict: 'answered', results: verdict.answer.results});
	}

	return respond(status, headers, 'application/problem+json', problemOf(id, verdict, status));
}

function respond(status: number, headers: Headers, contentType: string, body: unknown): Response {
	const bytes = new TextEncoder().encode(JSON.stringify(body));
	headers.set('content-type', contentType);
	headers.set('content-length', String(bytes.length));
	return new Response(bytes, {status, headers});
}

function problemOf(id: SubmissionId | undefined, verdict: Verdict<JobAnswer>, status: number) {
	const common = {id, status, verdict: verdictLabels[verdict.kind]};
	return match(verdict)
		.with({kind: 'answered', answer: {kind: 'failed'}}, ({answer}) => ({
			type: 'urn:savorylock:problem:task-failed', title: 'A task of the job failed', ...common, detail: answer.detail, taskIndex: answer.taskIndex,
		}))
		.with({kind: 'answered'}, () => ({type: 'about:blank', title: 'Answered', ...common}))
		.with({kind: 'notRun'}, ({cause, detail}) => ({
			type: `urn:savorylock:problem:${toKebabCase(cause)}`, title: 'The job was not run', ...common, detail,
		}))
		.with({kind: 'mayHaveRun'}, ({cause, detail}) => ({
			type: `urn:savorylock:problem:${toKebabCase(cause)}`, title: 'The job may have run', ...common, detail,
		}))
		.exhaustive();
}

function retryAfterSeconds(verdict: Verdict<JobAnswer>): number | undefined {
	if (verdict.kind === 'mayHaveRun') {
		return retryableCauses.has(verdict.cause) ? uncertainRetryAfterSeconds : undefined;
	}

	if (verdict.kind !== 'notRun' || verdict.retryAfterMilliseconds === undefined) {
		return undefined;
	}

	return Math.max(1, Math.ceil(verdict.retryAfterMilliseconds / 1000));
}

function toKebabCase(cause: string): string {
	return cause.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);
}
