/** What entries ask of the arbiter of a zone. */
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
 * `want` asks for slots for tasks of one job, all or none of which are admitted; `release` gives a slot back with what
 * became of the task; `withdraw` takes wishes back; `renew` tells how many slots and wishes the requester has; `inventory` names them after the arbiter asked to count again.
 */
export const placementRequestSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('want'),
		job: z.string().max(256).transform(text => text as SubmissionId),
		profile,
		/** The profile's weight with its priority worked in. */
		weight: z.number().positive(),
		limits: z.object({
			tasksPerSecond: z.number().optional(),
			tasksInFlight: z.number().optional(),
			tasksQueued: z.number().optional(),
		}),
		/** Time until the job's deadline. */
		remainingMilliseconds: z.number(),
		/** A target stops a task that runs longer; with it a slot's lease ends. */
		limitMilliseconds: z.number().positive(),
		/** Wishes that were admitted before: a new try of a task, or a copy for a new arbiter. */
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
