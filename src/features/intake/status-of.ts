/** Maps verdicts to HTTP status codes. */
import {match} from 'ts-pattern';
import type {JobAnswer} from '../../base/job-answer.js';
import type {RefusalCause} from '../../base/refusal-cause.js';
import type {Verdict} from '../../base/verdict.js';

const refusalStatus: Readonly<Record<RefusalCause, 400 | 404 | 409 | 410 | 413 | 422 | 429 | 503>> = {
	invalidRequest: 400,
	unknownProfile: 404,
	cancelled: 409,
	retiredProfile: 410,
	bodyTooLarge: 413,
	neverPlaceable: 422,
	conflictingReuse: 422,
	limitReached: 429,
	queueFull: 503,
	deadlineUnreachable: 503,
	noTarget: 503,
	targetRefused: 503,
	notReady: 503,
	draining: 503,
	registryUnavailable: 503,
};

/** 200 for complete, 502 for failed, 504 for possibly run; refusals map by cause. */
export function statusOf(verdict: Verdict<JobAnswer>) {
	return match(verdict)
		.with({kind: 'answered', answer: {kind: 'complete'}}, () => 200 as const)
		.with({kind: 'answered'}, () => 502 as const)
		.with({kind: 'mayHaveRun'}, () => 504 as const)
		.with({kind: 'notRun'}, ({cause}) => refusalStatus[cause])
		.exhaustive();
}
