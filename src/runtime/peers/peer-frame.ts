/** Frames of the peer protocol. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {MemberId} from '../../base/member-id.js';
import {protocolVersion} from './protocol-version.js';

const memberSchema = z.object({
	id: z.string().max(256).transform(id => id as MemberId),
	instance: z.string().max(128).transform(instance => instance as InstanceId),
	zone: z.string().max(128).transform(zone => zone as AvailabilityZone),
	peerAddress: z.string().regex(/^[\d.]+:\d+$/v),
	/** Missing in the handshakes of former versions. */
	hasExactTexts: z.boolean().optional(),
});

/**
 * The handshake consists of `hello` from the dialer, `welcome` with the listener's proof, and `proof` from the dialer. After
 * it, both sides send messages and answer pings. A `hello` of another version is answered by `version`, and the connection closed.
 */
export const peerFrameSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('hello'), version: z.literal(protocolVersion), nonce: z.string().max(64), member: memberSchema,
	}),
	z.object({
		kind: z.literal('welcome'), version: z.literal(protocolVersion), nonce: z.string().max(64), proof: z.string().max(128), member: memberSchema,
	}),
	z.object({kind: z.literal('proof'), proof: z.string().max(128)}),
	/** The version of an entry that can't read the other side's handshake. */
	z.object({kind: z.literal('version'), version: z.int()}),
	z.object({
		kind: z.literal('message'),
		channel: z.string().max(64),
		body: z.unknown(),
		/** The sender's timestamp, and the latest timestamp it received from the other side, which acknowledges like a pong. */
		stamp: z.number(),
		echo: z.number(),
	}),
	/** The pong returns the timestamp of the ping unchanged. */
	z.object({kind: z.literal('ping'), stamp: z.number()}),
	z.object({kind: z.literal('pong'), stamp: z.number()}),
]);
