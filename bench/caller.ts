/** Submits one job as a careful caller does. */
import {setTimeout as wait} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {JobOutcome} from './job-outcome.js';
import type {PlannedJob} from './planned-job.js';

const answerMarginMilliseconds = 5000;
const resubmitAfterMilliseconds = 300;

const bodySchema = z.looseObject({results: z.array(z.unknown()).optional(), detail: z.string().optional()});

/** How a caller behaves when a copy gets no final verdict. */
type CallerOptions = {
	/** Entries to send to, the preferred one first, asked anew for each copy. */
	readonly entries: () => readonly string[];
	/** Copies that a caller sends at the most, one after the other. */
	readonly copies: number;
	readonly onExchange: () => void;
};
type Answer = Omit<JobOutcome, 'id' | 'milliseconds' | 'copies'>;

const agent = new Agent({
	connections: 512, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: 2000,
});

/** Sends copies with the same id until one brings a verdict that ends the matter. */
export async function submitAsCaller(id: string, job: PlannedJob, options: CallerOptions): Promise<JobOutcome> {
	const startedAt = performance.now();
	let answer: Answer | undefined;
	let copies = 0;
	while (copies < options.copies) {
		const entries = options.entries();
		const entry = entries[copies % Math.max(1, entries.length)];
		copies += 1;
		const latest = entry === undefined ? undefined : await submitCopy(id, job, entry, options.onExchange);
		answer = betterOf(answer, latest);
		if (isFinal(answer)) {
			break;
		}

		await wait(resubmitAfterMilliseconds);
	}

	const milliseconds = performance.now() - startedAt;
	return {
		id, milliseconds, copies, ...(answer ?? lost('no entry could be reached')),
	};
}

async function submitCopy(id: string, job: PlannedJob, entry: string, onExchange: () => void): Promise<Answer> {
	const body = JSON.stringify({
		profile: job.profile,
		deadlineMilliseconds: job.deadline,
		tasks: job.runs.map(runMilliseconds => ({payload: {runMilliseconds}, declaredMilliseconds: job.declared})),
	});
	try {
		const response = await request(`http://${entry}/v1/jobs`, {
			method: 'POST',
			headers: {'content-type': 'application/json', 'idempotency-key': id},
			body,
			dispatcher: agent,
			signal: AbortSignal.timeout(job.deadline + answerMarginMilliseconds),
		});
		const answer = bodySchema.parse(await response.body.json());
		onExchange();
		return answerOf(id, job, {
			status: response.statusCode, verdict: String(response.headers['savorylock-verdict']), retryAfter: response.headers['retry-after'], answer,
		});
	} catch (error) {
		return lost(String(error));
	}
}

function answerOf(
	id: string,
	job: PlannedJob,
	{status, verdict, retryAfter, answer}: {readonly status: number; readonly verdict: string; readonly retryAfter: unknown; readonly answer: z.output<typeof bodySchema>},
): Answer {
	const results = answer.results ?? [];
	const isComplete = status === 200;
	return {
		verdict: isComplete ? 'complete' : verdictOf(verdict),
		status,
		isPartial: isComplete ? results.length !== job.runs.length : results.length > 0,
		isCrossed: isComplete && results.some((result, index) => result !== `${id}/${index}`),
		hasRetryAfter: retryAfter !== undefined,
		detail: answer.detail ?? '',
	};
}

function verdictOf(word: string): JobOutcome['verdict'] {
	if (word === 'answered') {
		return 'failed';
	}

	return word === 'not-run' ? 'notRun' : 'mayHaveRun';
}

function isFinal(answer: Answer | undefined): boolean {
	return answer !== undefined && (answer.verdict === 'complete' || answer.verdict === 'failed' || (answer.verdict === 'notRun' && !answer.hasRetryAfter));
}

/** A doubt doesn't take back what an earlier copy learned, and a refusal of a later copy doesn't either. */
function betterOf(earlier: Answer | undefined, latest: Answer | undefined): Answer | undefined {
	if (latest === undefined || latest.verdict === 'lost') {
		return earlier ?? latest;
	}

	return latest;
}

function lost(detail: string): Answer {
	return {
		verdict: 'lost', status: 0, isPartial: false, isCrossed: false, hasRetryAfter: false, detail,
	};
}
