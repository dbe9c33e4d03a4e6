/** Decoding of peer frames. */
import type {z} from 'zod';
import {cbor} from './cbor.js';
import {otherVersionSchema} from './other-version-schema.js';
import {peerFrameSchema} from './peer-frame.js';

type Frame = z.output<typeof peerFrameSchema>;

/**
 * Decodes a frame; returns undefined if it is invalid. Handshake frames come from unauthenticated peers and are validated by
 * schema. Messages and pings are accepted only after the handshake; for them only the field types are checked, because
 * schema validation of every message is expensive.
 */
export function decodeFrame(bytes: Uint8Array): Frame | undefined {
	try {
		const value = cbor.decode(bytes) as Partial<Frame> | undefined;
		return isMessageOrPing(value) ? value : parseHandshake(value);
	} catch {
		return undefined;
	}
}

function isMessageOrPing(value: Partial<Frame> | undefined): value is Extract<Frame, {kind: 'message' | 'ping' | 'pong'}> {
	if (value?.kind === 'message') {
		return typeof value.channel === 'string' && typeof value.stamp === 'number' && typeof value.echo === 'number';
	}

	return (value?.kind === 'ping' || value?.kind === 'pong') && typeof value.stamp === 'number';
}

function parseHandshake(value: unknown): Frame | undefined {
	const checked = peerFrameSchema.safeParse(value);
	if (checked.success) {
		return checked.data;
	}

	const other = otherVersionSchema.safeParse(value);
	return other.success ? {kind: 'version', version: other.data.version} : undefined;
}
