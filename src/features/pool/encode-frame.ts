/** Encodes frames of the pool. */
import {encodeMessages} from './encode-messages.js';
import type {PoolFrame} from './pool-frame.js';

/** The four numbers of the two epochs, the messages, and the time of sending, which entries that don't know it ignore. */
export function encodeFrame({epoch, acknowledgedEpoch, sentAt, messages}: PoolFrame): readonly unknown[] {
	return [epoch.losses, epoch.pauses, acknowledgedEpoch.losses, acknowledgedEpoch.pauses, encodeMessages(messages), sentAt];
}
