/** The body of a job's submission. */
import * as z from 'zod';
import {jsonValueSchema} from '../../base/json-value-schema.js';
import type {ProfileName} from '../../base/profile-name.js';

/** The largest job that callers may submit. */
const tasksPerJob = 200;
const declaredMillisecondsLimit = 3_600_000;

/** See docs/INTERFACES.md; unknown keys are errors, since a mistyped limit would silently not hold. */
export const jobBodySchema = z.strictObject({
	profile: z.string().min(1).max(64).transform(name => name as ProfileName),
	deadlineMilliseconds: z.int().min(1).optional(),
	tasks: z.array(z.strictObject({
		payload: jsonValueSchema,
		declaredMilliseconds: z.number().min(0).max(declaredMillisecondsLimit).optional(),
		memoryMegabytes: z.number().min(0).optional(),
		accelerators: z.int().min(0).optional(),
	})).min(1).max(tasksPerJob),
});
