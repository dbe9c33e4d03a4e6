/** What one entry of a pool sends to another at once. */
import type {Epoch} from './epoch.js';
import type {PoolMessage} from './pool-message.js';

export type PoolFrame = {
	/** The sender's epoch for the receiver. */
	readonly epoch: Epoch;
	/** The receiver's epoch for the sender, as the sender had heard it when it asked for what the frame carries. */
	readonly acknowledgedEpoch: Epoch;
	readonly messages: readonly PoolMessage[];
};
