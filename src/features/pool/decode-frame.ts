/** Decodes frames of the pool. */
import {decodeMessages} from './decode-messages.js';
import {EncodedValues} from './encoded-values.js';
import type {Epoch} from './epoch.js';
import type {PoolFrame} from './pool-frame.js';

/** Entries state less; more would put contacts before the start of the runs that depend on them. */
const maximumReadingDelayMilliseconds = 1000;

/** Throws a `TypeError` that names the malformed value. */
export function decodeFrame(body: unknown): PoolFrame {
	const values = new EncodedValues(Array.isArray(body) ? body : []);
	return {
		epoch: decodeEpoch(values),
		acknowledgedEpoch: decodeEpoch(values),
		messages: decodeMessages(values.list()),
		sentAt: values.optionalFiniteNumber(),
		skippedMilliseconds: values.optionalFiniteNumber() ?? 0,
		readingDelayMilliseconds: Math.max(0, Math.min(values.optionalFiniteNumber() ?? 0, maximumReadingDelayMilliseconds)),
	};
}

function decodeEpoch(values: EncodedValues): Epoch {
	return {losses: values.number(), pauses: values.number()};
}
