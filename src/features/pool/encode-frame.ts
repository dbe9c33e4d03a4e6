/** Encodes frames of the pool. */
import {encodeMessages} from './encode-messages.js';
import type {PoolFrame} from './pool-frame.js';

/** The four numbers of the two epochs, then the messages. */
export function encodeFrame({epoch, acknowledgedEpoch, messages}: PoolFrame): readonly unknown[] {
	return [epoch.losses, epoch.pauses, acknowledgedEpoch.losses, acknowledgedEpoch.pauses, encodeMessages(messages)];
}
