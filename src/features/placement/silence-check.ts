/** Whether other entries hear of a holder that an entry doesn't hear. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Membership} from '../membership/membership.js';
import type {ElectionMessage} from './election-message.js';

/** A witness that heard of the holder more recently than this contradicts its silence. */
const minimumSilenceMilliseconds = 1500;
/** How long witnesses have for their answers. */
const replyTimeoutMilliseconds = 500;

type Poll = {readonly about: MemberId; readonly startedAt: number; silentReplies: number; aliveReplies: number};

/** Asks all others, and answers those that ask; their silence proves nothing, one answer is needed. */
export class SilenceCheck {
	#poll: Poll | undefined;

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly send: (to: Member, message: ElectionMessage) => void,
	) {}

	/** Begins to ask, or ends after the time for answers: then it returns how many confirm the silence, if nobody contradicts. */
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

	/** The holder was heard. */
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

	/** Only an entry that was in touch with a member can tell whether it fell silent. */
	replyTo(to: Member, about: MemberId): void {
		const heardAgoMilliseconds = about === this.membership.self.id ? 0 : this.membership.heardAgo(about);
		if (heardAgoMilliseconds !== undefined) {
			this.send(to, {kind: 'aliveReply', about, heardAgoMilliseconds});
		}
	}

	#start(about: MemberId, now: number): void {
		this.#poll = {
			about, startedAt: now, silentReplies: 0, aliveReplies: 0,
		};
		for (const member of this.membership.all) {
			if (member.id !== about) {
				this.send(member, {kind: 'alive', about});
			}
		}
	}
}
