/** Messages of the arbiter election. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {ProfileName} from '../../base/profile-name.js';
import type {TicketId} from '../../base/ticket-id.js';

const zone = z.string().transform(text => text as AvailabilityZone);
const member = z.string().transform(text => text as MemberId);

/**
 * `holds` announces the arbiter and is acknowledged with `heard`; `who` asks for the arbiter; `nobody` replies that
 * none is known; `alive` asks how long ago a member was last heard, and `aliveReply` answers it; `handover` transfers
 * the role to a successor, with all leased slots.
 */
export const electionMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('holds'), zone, holder: member, epoch: z.int().min(0), stamp: z.number(),
	}),
	z.object({kind: z.literal('heard'), stamp: z.number()}),
	z.object({kind: z.literal('who'), zone}),
	z.object({kind: z.literal('nobody'), zone}),
	z.object({kind: z.literal('alive'), about: member}),
	z.object({kind: z.literal('aliveReply'), about: member, heardAgoMilliseconds: z.number()}),
	z.object({
		kind: z.literal('handover'),
		epoch: z.int().min(0),
		held: z.array(z.object({
			requester: member,
			ticket: z.string().transform(text => text as TicketId),
			target: z.string().transform(text => text as InstanceId),
			profile: z.string().transform(text => text as ProfileName),
			endsInMilliseconds: z.number(),
		})),
	}),
]);
