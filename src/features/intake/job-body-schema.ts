/** Schema of job submissions. */
import * as z from 'zod';
import {jsonValueSchema} from '../../base/json-value-schema.js';
import type {ProfileName} from '../../base/profile-name.js';

const maximumTasksPerJob = 200;
const maximumDeclaredMilliseconds = 3_600_000;

/** Described in docs/INTERFACES.md. Rejects unknown keys, since a misspelled limit would otherwise be ignored. */
export const jobBodySchema = z.strictObject({
	profile: z.string().min(1).max(64).transform(name => name as ProfileName),
	deadlineMilliseconds: z.int().min(1).optional(),
	tasks: z.array(z.strictObject({
		payload: jsonValueSchema,
		declaredMilliseconds: z.number().min(0).max(maximumDeclaredMilliseconds).optional(),
		memoryMegabytes: z.number().min(0).optional(),
		accelerators: z.int().min(0).optional(),
	})).min(1).max(maximumTasksPerJob),
});
