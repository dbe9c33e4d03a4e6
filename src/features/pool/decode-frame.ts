/** Decodes frames of the pool. */
import {decodeMessages} from './decode-messages.js';
import {EncodedValues} from './encoded-values.js';
import type {Epoch} from './epoch.js';
import type {PoolFrame} from './pool-frame.js';

/** Throws a `TypeError` that names the malformed value. */
export function decodeFrame(body: unknown): PoolFrame {
	const values = new EncodedValues(Array.isArray(body) ? body : []);
	return {
		epoch: decodeEpoch(values),
		acknowledgedEpoch: decodeEpoch(values),
		messages: decodeMessages(values.list()),
		sentAt: values.optionalNumber(),
		skippedMilliseconds: values.optionalNumber() ?? 0,
		readingDelayMilliseconds: values.optionalNumber() ?? 0,
	};
}

function decodeEpoch(values: EncodedValues): Epoch {
	return {losses: values.number(), pauses: values.number()};
}
