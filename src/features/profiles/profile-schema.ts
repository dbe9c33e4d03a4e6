/** Schema of a profile in TOML files and in log records. */
import * as z from 'zod';
import type {ProfileName} from '../../base/profile-name.js';

const label = z.string().regex(/^[\w.\-]{1,64}$/v);

/** Validated by the operators' command before the append and by every entry; unknown keys are errors. */
export const profileSchema = z.strictObject({
	name: z.string().regex(/^[a-z][a-z0-9\-]{0,63}$/v, 'lower-case letters, digits and hyphens, a letter first, 64 at most').transform(name => name as ProfileName),
	/** If false, a job runs at most once across all zones, and is refused where this can't be guaranteed. */
	repeatable: z.boolean().default(true),
	/** Maximum and default deadline of a job. */
	deadlineMilliseconds: z.int().min(50).max(600_000).default(10_000),
	/** Maximum run time of a task, enforced by the target. */
	taskLimitMilliseconds: z.int().min(10).max(600_000).default(10_000),
	priority: z.enum(['urgent', 'normal', 'background']).default('normal'),
	/** Relative share of the slots under load. */
	weight: z.int().min(1).max(100).default(10),
	/** Maximum retries of a task that is known not to have run. */
	retries: z.int().min(0).max(5).default(2),
	/** Limits per availability zone. */
	limits: z.strictObject({
		tasksPerSecond: z.number().min(0.1).max(100_000).optional(),
		tasksInFlight: z.int().min(1).max(100_000).optional(),
		tasksQueued: z.int().min(1).max(100_000).optional(),
	}).prefault({}),
	/** Default resource requirements of a task. */
	sizes: z.strictObject({
		memoryMegabytes: z.number().min(0).max(16_777_216).default(0),
		accelerators: z.int().min(0).max(64).default(0),
	}).prefault({}),
	/** Labels that a target must have. */
	labels: z.array(label).max(8).default([]),
	/** Canary: routes a share of the submissions to targets with the label. */
	variant: z.strictObject({
		label,
		share: z.number().min(0).max(1),
		guard: z.strictObject({
			/** Maximum excess of the variant's failure share over the base's. */
			failureShare: z.number().min(0).max(1).default(0.05),
			/** Maximum ratio of the variant's mean run time to the base's. */
			slowdown: z.number().min(1).max(100).default(2),
			/** Number of tasks on the variant before the guard takes effect. */
			minimumTasks: z.int().min(1).max(10_000).default(20),
		}).prefault({}),
	}).optional(),
});
