/** Replies of an arbiter to entries. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TicketId} from '../../base/ticket-id.js';

const ticket = z.string().max(300).transform(text => text as TicketId);
const zone = z.string().transform(text => text as AvailabilityZone);

/**
 * `granted` leases slots and echoes the requester's latest clock stamp; `refused` ends requests; `recount` asks for
 * an inventory; `unknown` lists requests that the arbiter doesn't have; `elsewhere` reports that the sender isn't the
 * arbiter.
 */
export const placementReplySchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('granted'),
		echo: z.number(),
		grants: z.array(z.object({
			ticket,
			target: z.object({id: z.string().transform(text => text as InstanceId), address: z.string()}),
		})),
	}),
	z.object({
		kind: z.literal('refused'),
		tickets: z.array(ticket),
		cause: z.enum(['neverPlaceable', 'limitReached', 'queueFull', 'deadlineUnreachable', 'noTarget']),
		detail: z.string(),
		retryAfterMilliseconds: z.number().optional(),
	}),
	z.object({kind: z.literal('recount'), zone}),
	z.object({kind: z.literal('unknown'), tickets: z.array(ticket)}),
	z.object({kind: z.literal('elsewhere'), zone}),
]);
