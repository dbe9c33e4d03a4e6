/** Decodes one frame. */
import {decode} from 'cbor-x';
import type {z} from 'zod';
import {peerFrameSchema} from './peer-frame.js';

/** The frame, or nothing where the bytes aren't one. */
export function readFrame(bytes: Uint8Array): z.output<typeof peerFrameSchema> | undefined {
	try {
		const checked = peerFrameSchema.safeParse(decode(bytes));
		return checked.success ? checked.data : undefined;
	} catch {
		return undefined;
	}
}
