/** A batch of pool messages with the epochs that they were sent in. */
import type {Epoch} from './epoch.js';
import type {PoolMessage} from './pool-message.js';

/** Sent from one entry to another as a unit. */
export type PoolFrame = {
	/** The sender's epoch for the receiver. */
	readonly epoch: Epoch;
	/** The receiver's epoch for the sender, as last received by the sender when it queued the messages. */
	readonly acknowledgedEpoch: Epoch;
	/**
	 * When the first message was queued, in milliseconds of the sender's monotonic clock plus the time that it didn't count. Undefined
	 * from entries that don't state it.
	 */
	readonly sentAt: number | undefined;
	/** The time in `sentAt` that the sender's clock didn't count; 0 from entries that don't state it. */
	readonly skippedMilliseconds: number;
	/** How long before `sentAt` callers may have disconnected unread by the sender; 0 from entries that don't state it. */
	readonly readingDelayMilliseconds: number;
	readonly messages: readonly PoolMessage[];
};
