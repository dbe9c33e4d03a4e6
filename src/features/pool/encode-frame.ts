/** Frames of the pool as they travel. */
import {encodeMessages} from './encode-messages.js';
import type {PoolFrame} from './pool-frame.js';

/** Four numbers, then the messages. */
export function encodeFrame({epoch, acknowledgedEpoch, messages}: PoolFrame): readonly unknown[] {
	return [epoch.losses, epoch.pauses, acknowledgedEpoch.losses, acknowledgedEpoch.pauses, encodeMessages(messages)];
}
