/** Whether other entries hear of a holder that an entry doesn't hear. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Membership} from '../membership/membership.js';
import type {ElectionMessage} from './election-message.js';

/** A witness that heard of the holder more recently than this contradicts its silence. */
const witnessedSilenceMilliseconds = 1500;
/** How long witnesses have for their answers. */
const witnessWaitMilliseconds = 500;

type Inquiry = {readonly about: MemberId; readonly startedAt: number; denials: number; confirmations: number};

/** Asks all others, and answers those that ask; their silence proves nothing, one answer is needed. */
export class SilenceCheck {
	#inquiry: Inquiry | undefined;

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly send: (to: Member, message: ElectionMessage) => void,
	) {}

	/** Begins to ask, or ends after the time for answers: then it returns how many confirm the silence, if nobody contradicts. */
	witnessesOf(about: MemberId): number {
		const now = this.clock.now();
		if (this.#inquiry === undefined) {
			this.#begin(about, now);
			return 0;
		}

		const {startedAt, denials, confirmations} = this.#inquiry;
		if (now - startedAt < witnessWaitMilliseconds) {
			return 0;
		}

		this.#inquiry = undefined;
		return confirmations === 0 ? denials : 0;
	}

	/** The holder was heard. */
	close(): void {
		this.#inquiry = undefined;
	}

	takeReply(reply: Extract<ElectionMessage, {kind: 'aliveReply'}>): void {
		if (this.#inquiry?.about !== reply.about) {
			return;
		}

		if (reply.heardAgoMilliseconds < witnessedSilenceMilliseconds) {
			this.#inquiry.confirmations += 1;
		} else {
			this.#inquiry.denials += 1;
		}
	}

	/** Only an entry that was in touch with a member can tell whether it fell silent. */
	testify(to: Member, about: MemberId): void {
		const heardAgoMilliseconds = about === this.membership.self.id ? 0 : this.membership.millisecondsSinceHeard(about);
		if (heardAgoMilliseconds !== undefined) {
			this.send(to, {kind: 'aliveReply', about, heardAgoMilliseconds});
		}
	}

	#begin(about: MemberId, now: number): void {
		this.#inquiry = {
			about, startedAt: now, denials: 0, confirmations: 0,
		};
		for (const member of this.membership.peers) {
			if (member.id !== about) {
				this.send(member, {kind: 'alive', about});
			}
		}
	}
}
