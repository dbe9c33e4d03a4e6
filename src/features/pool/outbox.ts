/** Messages that wait to be sent together. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import {encodeMessages} from './encode-messages.js';
import type {PoolMessage} from './pool-message.js';

type Batch = {readonly member: Member; messages: PoolMessage[]};

/**
 * Sends all messages for one entry that come up while one event is handled in one frame, in their order. The tasks of a wide
 * job, or the ends that one report of a target lists, would otherwise cost a system call and a wake-up each. Of several states
 * only the last one goes.
 */
export class Outbox {
	readonly #batches = new Map<MemberId, Batch>();

	constructor(private readonly network: PeerNetwork, private readonly channel: string, private readonly clock: Clock) {}

	put(member: Member, message: PoolMessage): void {
		if (this.#batches.size === 0) {
			this.clock.defer(() => {
				this.#flush();
			});
		}

		const batch = this.#batches.get(member.id) ?? {member, messages: []};
		this.#batches.set(member.id, batch);
		if (message.kind === 'state') {
			batch.messages = batch.messages.filter(({kind}) => kind !== 'state');
		}

		batch.messages.push(message);
	}

	#flush(): void {
		const batches = [...this.#batches.values()];
		this.#batches.clear();
		for (const {member, messages} of batches) {
			this.network.send(member, {channel: this.channel, body: encodeMessages(messages)});
		}
	}
}
