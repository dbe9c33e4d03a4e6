/** What the arbiter of a zone tells entries. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TicketId} from '../../base/ticket-id.js';

const ticket = z.string().max(300).transform(text => text as TicketId);
const zone = z.string().transform(text => text as AvailabilityZone);

/**
 * `granted` lends slots, with the requester's own clock time as the arbiter last heard it; `refused` ends wishes;
 * `recount` asks for an inventory; `unknown` names
 * wishes that the arbiter doesn't have; `elsewhere` says that the sender isn't the arbiter.
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
