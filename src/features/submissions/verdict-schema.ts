/** Schema of verdicts received from peers. */
import * as z from 'zod';
import type {UncertaintyCause} from '../../base/uncertainty-cause.js';
import type {JobAnswer} from '../../base/job-answer.js';
import {jsonValueSchema} from '../../base/json-value-schema.js';
import type {RefusalCause} from '../../base/refusal-cause.js';
import type {Verdict} from '../../base/verdict.js';

/** Validates the verdict of a job. */
export const verdictSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('answered'),
		answer: z.discriminatedUnion('kind', [
			z.object({kind: z.literal('complete'), results: z.array(jsonValueSchema)}),
			z.object({kind: z.literal('failed'), taskIndex: z.number(), detail: z.string()}),
		]),
	}),
	z.object({
		kind: z.literal('notRun'),
		cause: z.string().transform(cause => cause as RefusalCause),
		detail: z.string(),
		retryAfterMilliseconds: z.number().optional(),
	}),
	z.object({kind: z.literal('mayHaveRun'), cause: z.string().transform(cause => cause as UncertaintyCause), detail: z.string()}),
]) as z.ZodType<Verdict<JobAnswer>>;
