/** Decodes one frame. */
import {decode} from 'cbor-x';
import type {z} from 'zod';
import {peerFrameSchema} from './peer-frame.js';

type Frame = z.output<typeof peerFrameSchema>;

/**
 * The frame, or nothing where the bytes aren't one. What strangers may send, the handshake, is checked by schema. Messages and
 * pings count only after the handshake, from programs that know the key: for them the types of the fields are looked at
 * here, since a schema's check of every message would take much of a busy entry's processor time.
 */
export function decodeFrame(bytes: Uint8Array): Frame | undefined {
	try {
		const value = decode(bytes) as Partial<Frame> | undefined;
		return isTraffic(value) ? value : checkedHandshake(value);
	} catch {
		return undefined;
	}
}

function isTraffic(value: Partial<Frame> | undefined): value is Extract<Frame, {kind: 'message' | 'ping' | 'pong'}> {
	if (value?.kind === 'message') {
		return typeof value.channel === 'string' && typeof value.stamp === 'number' && typeof value.echo === 'number';
	}

	return (value?.kind === 'ping' || value?.kind === 'pong') && typeof value.stamp === 'number';
}

function checkedHandshake(value: unknown): Frame | undefined {
	const checked = peerFrameSchema.safeParse(value);
	return checked.success ? checked.data : undefined;
}
