/** Encodes frames of the pool. */
import {encodeMessages} from './encode-messages.js';
import type {PoolFrame} from './pool-frame.js';

/**
 * The four numbers of the two epochs, the messages, the time of sending and, unless 0, the skipped time in it and the delay of reading.
 * Entries ignore values that they don't know.
 */
export function encodeFrame({epoch, acknowledgedEpoch, sentAt, skippedMilliseconds, readingDelayMilliseconds, messages}: PoolFrame): readonly unknown[] {
	const delay = readingDelayMilliseconds === 0 ? [] : [readingDelayMilliseconds];
	const skipped = skippedMilliseconds === 0 && delay.length === 0 ? [] : [skippedMilliseconds];
	return [epoch.losses, epoch.pauses, acknowledgedEpoch.losses, acknowledgedEpoch.pauses, encodeMessages(messages), sentAt, ...skipped, ...delay];
}
