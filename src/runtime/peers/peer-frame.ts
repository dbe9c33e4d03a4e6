/** The frames of a peer connection. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';

const memberSchema = z.object({
	id: z.string().max(256).transform(id => id as MemberId),
	instance: z.string().max(128).transform(instance => instance as InstanceId),
	zone: z.string().max(128).transform(zone => zone as AvailabilityZone),
	peerAddress: z.string().regex(/^[\d.]+:\d+$/v),
});

/**
 * The dialer says hello, the listener welcomes with its proof, the dialer proves itself; after that either side sends
 * messages, and pings that the other side answers. A version that isn't known is a stranger.
 */
export const peerFrameSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('hello'), version: z.literal(1), nonce: z.string().max(64), member: memberSchema,
	}),
	z.object({
		kind: z.literal('welcome'), version: z.literal(1), nonce: z.string().max(64), proof: z.string().max(128), member: memberSchema,
	}),
	z.object({kind: z.literal('proof'), proof: z.string().max(128)}),
	z.object({
		kind: z.literal('message'),
		channel: z.string().max(64),
		body: z.unknown(),
		/** The sender's own time, and the latest such time that it had from the receiver: traffic takes the pings' place. */
		stamp: z.number(),
		echo: z.number(),
	}),
	/** The stamp is the pinging side's own, and comes back unread. */
	z.object({kind: z.literal('ping'), stamp: z.number()}),
	z.object({kind: z.literal('pong'), stamp: z.number()}),
]);
