/** The shape of a profile, as its TOML document and its records in the log have it. */
import * as z from 'zod';
import type {ProfileName} from '../../base/profile-name.js';

const label = z.string().regex(/^[\w.\-]{1,64}$/v);

/** Checked by the operators' command before the append, and again by every entry; unknown keys are errors. */
export const profileSchema = z.strictObject({
	name: z.string().regex(/^[a-z][a-z0-9\-]{0,63}$/v, 'lower-case letters, digits and hyphens, a letter first, 64 at most').transform(name => name as ProfileName),
	/** False: the work runs at most once over all zones, and is refused where that can't be proved. */
	repeatable: z.boolean().default(true),
	/** The longest deadline of a job, and the one that a job without its own gets. */
	deadlineMilliseconds: z.int().min(50).max(600_000).default(10_000),
	/** A target stops a task that runs longer. */
	taskLimitMilliseconds: z.int().min(10).max(600_000).default(10_000),
	priority: z.enum(['urgent', 'normal', 'background']).default('normal'),
	/** Share of the slots under load, against the weights of the other profiles. */
	weight: z.int().min(1).max(100).default(10),
	/** New starts after a proof that a task did not run. */
	retries: z.int().min(0).max(5).default(2),
	/** Each counted for one availability zone. */
	limits: z.strictObject({
		tasksPerSecond: z.number().min(0.1).max(100_000).optional(),
		tasksInFlight: z.int().min(1).max(100_000).optional(),
		tasksQueued: z.int().min(1).max(100_000).optional(),
	}).prefault({}),
	/** What a task takes that declares nothing itself. */
	sizes: z.strictObject({
		memoryMegabytes: z.number().min(0).max(16_777_216).default(0),
		accelerators: z.int().min(0).max(64).default(0),
	}).prefault({}),
	/** A target must have all of these. */
	labels: z.array(label).max(8).default([]),
	/** A trial of new behaviour: a share of the submissions goes to targets with the label. */
	variant: z.strictObject({
		label,
		share: z.number().min(0).max(1),
		guard: z.strictObject({
			/** The variant's share of failures may exceed the base's by this much. */
			failureShare: z.number().min(0).max(1).default(0.05),
			/** The variant's mean run time may be this many times the base's. */
			slowdown: z.number().min(1).max(100).default(2),
			/** Tasks of the variant before the guard decides. */
			minimumTasks: z.int().min(1).max(10_000).default(20),
		}).prefault({}),
	}).optional(),
});
