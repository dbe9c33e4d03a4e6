/** Frames of the pool as they travel. */
import {encodeMessages} from './encode-messages.js';
import type {PoolFrame} from './pool-frame.js';

/** Four numbers, then the messages. */
export function encodeFrame({epoch, heardEpoch, messages}: PoolFrame): readonly unknown[] {
	return [epoch.losses, epoch.pauses, heardEpoch.losses, heardEpoch.pauses, encodeMessages(messages)];
}
