/** Confirms with other entries that the arbiter is silent. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Membership} from '../membership/membership.js';
import type {ElectionMessage} from './election-message.js';

/** A witness that has heard the arbiter more recently than this contradicts the silence. */
const minimumSilenceMilliseconds = 1500;
/** Time to wait for replies from witnesses. */
const replyTimeoutMilliseconds = 500;

type Poll = {readonly about: MemberId; readonly startedAt: number; silentReplies: number; aliveReplies: number};

/** Queries all peers and answers their queries. A missing reply confirms nothing; at least one reply is required. */
export class SilenceCheck {
	#poll: Poll | undefined;

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly send: (to: Member, message: ElectionMessage) => void,
	) {}

	/**
	 * Starts a query, or returns the result once the reply timeout has passed: the number of witnesses that confirm
	 * the silence, or 0 if any contradicts it.
	 */
	pollWitnesses(about: MemberId): number {
		const now = this.clock.now();
		if (this.#poll === undefined) {
			this.#start(about, now);
			return 0;
		}

		const {startedAt, silentReplies, aliveReplies} = this.#poll;
		if (now - startedAt < replyTimeoutMilliseconds) {
			return 0;
		}

		this.#poll = undefined;
		return aliveReplies === 0 ? silentReplies : 0;
	}

	/** Cancels the query, after the arbiter was heard. */
	cancel(): void {
		this.#poll = undefined;
	}

	recordReply(reply: Extract<ElectionMessage, {kind: 'aliveReply'}>): void {
		if (this.#poll?.about !== reply.about) {
			return;
		}

		if (reply.heardAgoMilliseconds < minimumSilenceMilliseconds) {
			this.#poll.aliveReplies += 1;
		} else {
			this.#poll.silentReplies += 1;
		}
	}

	/** Replies only if this entry has been in contact with the member. */
	replyTo(to: Member, about: MemberId): void {
		const heardAgoMilliseconds = about === this.membership.self.id ? 0 : this.membership.millisecondsSinceHeard(about);
		if (heardAgoMilliseconds !== undefined) {
			this.send(to, {kind: 'aliveReply', about, heardAgoMilliseconds});
		}
	}

	#start(about: MemberId, now: number): void {
		this.#poll = {
			about, startedAt: now, silentReplies: 0, aliveReplies: 0,
		};
		for (const member of this.membership.peers) {
			if (member.id !== about) {
				this.send(member, {kind: 'alive', about});
			}
		}
	}
}
