/** Batches outgoing messages. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import {encodeFrame} from './encode-frame.js';
import type {Epoch} from './epoch.js';
import type {Epochs} from './epochs.js';
import type {PeerContacts} from './peer-contacts.js';
import type {PoolMessage} from './pool-message.js';

/**
 * `queuedAt` is the time to state, and `skippedMilliseconds` the skipped time in it: the first message was queued then, and the frame
 * may leave later on a slow entry. `readingDelayMilliseconds` is from that time as well.
 */
type Batch = {
	readonly member: Member;
	readonly acknowledgedEpoch: Epoch;
	readonly queuedAt: number;
	readonly skippedMilliseconds: number;
	readonly readingDelayMilliseconds: number;
	messages: PoolMessage[];
};

/** Dependencies of an outbox. */
type OutboxParts = {
	readonly network: PeerNetwork;
	readonly channel: string;
	readonly epochs: Epochs;
	readonly contacts: PeerContacts;
	readonly clock: Clock;
};

/**
 * Sends all messages for one peer that are queued during one event in a single frame, in order. This saves a system call and a
 * wake-up for each task of a wide job. Of several states only the last one is sent.
 */
export class Outbox {
	readonly #batches = new Map<MemberId, Batch>();

	constructor(private readonly parts: OutboxParts) {}

	/** Queues a message until the current event has been handled. */
	put(member: Member, message: PoolMessage): void {
		if (this.#batches.size === 0) {
			this.parts.clock.defer(() => {
				this.#flush();
			});
		}

		const batch = this.#batchFor(member);
		if (message.kind === 'state') {
			batch.messages = batch.messages.filter(({kind}) => kind !== 'state');
		}

		batch.messages.push(message);
	}

	/** Messages keep the epoch in which they were queued: when it changes, the older messages are sent first, in a separate frame. */
	#batchFor(member: Member): Batch {
		const acknowledgedEpoch = this.parts.epochs.remote(member.id);
		const known = this.#batches.get(member.id);
		if (known?.acknowledgedEpoch === acknowledgedEpoch) {
			return known;
		}

		if (known !== undefined) {
			this.#send(known);
		}

		const {sendTime, skippedMilliseconds, readingDelayMilliseconds} = this.parts.contacts;
		const batch = {
			member, acknowledgedEpoch, queuedAt: sendTime, skippedMilliseconds, readingDelayMilliseconds, messages: [],
		};
		this.#batches.set(member.id, batch);
		return batch;
	}

	#flush(): void {
		const batches = [...this.#batches.values()];
		this.#batches.clear();
		for (const batch of batches) {
			this.#send(batch);
		}
	}

	#send({member, acknowledgedEpoch, queuedAt, skippedMilliseconds, readingDelayMilliseconds, messages}: Batch): void {
		const {network, channel, epochs} = this.parts;
		const frame = {
			epoch: epochs.local(member.id), acknowledgedEpoch, sentAt: queuedAt, skippedMilliseconds, readingDelayMilliseconds, messages,
		};
		network.send(member, {channel, body: encodeFrame(frame)});
	}
}
