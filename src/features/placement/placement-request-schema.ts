/** Requests of entries to the arbiter of a zone. */
import * as z from 'zod';
import type {InstanceId} from '../../base/instance-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {TicketId} from '../../base/ticket-id.js';
import {requestedTaskSchema} from './requested-task-schema.js';

const ticket = z.string().max(300).transform(text => text as TicketId);
const target = z.string().max(128).transform(text => text as InstanceId);
const profile = z.string().max(64).transform(text => text as ProfileName);

/**
 * `want` requests slots for tasks of one job, which are admitted or refused together; `release` returns a slot with
 * the outcome of its task; `withdraw` cancels requests; `renew` reports the number of held slots and waiting
 * requests; `inventory` lists them, in reply to `recount` or for a new arbiter.
 */
export const placementRequestSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('want'),
		job: z.string().max(256).transform(text => text as SubmissionId),
		profile,
		/** Weight of the profile, including its priority. */
		weight: z.number().positive(),
		limits: z.object({
			tasksPerSecond: z.number().optional(),
			tasksInFlight: z.number().optional(),
			tasksQueued: z.number().optional(),
		}),
		/** Time until the job's deadline. */
		remainingMilliseconds: z.number(),
		/** Run time limit after which the target stops the task; determines the end of the lease. */
		limitMilliseconds: z.number().positive(),
		/** Set for requests that were admitted before: retries, and requests resent to a new arbiter. */
		isAdmitted: z.boolean(),
		tasks: z.array(requestedTaskSchema).min(1).max(200),
	}),
	z.object({
		kind: z.literal('release'),
		ticket,
		outcome: z.enum(['result', 'failure', 'refused', 'lost', 'unused']),
		runMilliseconds: z.number().min(0),
	}),
	z.object({kind: z.literal('withdraw'), tickets: z.array(ticket)}),
	z.object({kind: z.literal('renew'), held: z.number(), waiting: z.number()}),
	z.object({
		kind: z.literal('inventory'),
		held: z.array(z.object({
			ticket, target, profile, endsInMilliseconds: z.number(),
		})),
		waiting: z.array(ticket),
	}),
]);
