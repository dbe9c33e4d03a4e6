/** When an entry may take the arbiter's office of its zone. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Membership} from '../membership/membership.js';
import type {SilenceCheck} from './silence-check.js';
import type {ElectionMessage} from './election-message.js';
import {zonePeersOf} from './zone-peers-of.js';

/** A holder that nobody heard for so long has certainly stopped granting, whatever it still believes. */
const holderSilenceMilliseconds = 2500;
/** How often an entry that knows of no holder asks for one. */
const queryPeriodMilliseconds = 200;
/** How long an entry that knows of no holder asks before it may take the office. */
const searchMilliseconds = 300;

type CandidacyParts = {
	readonly membership: Membership;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly silenceCheck: SilenceCheck;
	readonly send: (to: Member, message: ElectionMessage) => void;
};

/** Only the first in rank takes the office: a vacant one when nobody told of a holder, a silent one's on witnesses' word. */
export class Candidacy {
	#heardAt: number;
	#queriedAt = Number.NEGATIVE_INFINITY;
	#searchingSince: number;

	constructor(private readonly parts: CandidacyParts) {
		this.#heardAt = parts.clock.now();
		this.#searchingSince = parts.clock.now();
	}

	/** Looks for a holder, or for a sign of life of the known one; returns whether this entry is to take the office now. */
	shouldTakeOver(holder: MemberId | undefined): boolean {
		return holder === undefined ? this.#checkVacancy() : this.#checkSilence(holder);
	}

	/** The holder gave a sign of life, or this entry couldn't have heard one. */
	resetSilenceTimer(): void {
		this.#heardAt = this.parts.clock.now();
	}

	/** This entry lost the office in a pause, and doesn't know who has it. */
	restart(): void {
		this.resetSilenceTimer();
		this.#searchingSince = this.parts.clock.now();
	}

	/** The holder is gone for certain: there's nobody to ask for. */
	holderLost(): void {
		this.#searchingSince = Number.NEGATIVE_INFINITY;
	}

	/** Whoever knows of no holder asks; only the first in rank may take the office, when nobody told of one. */
	#checkVacancy(): boolean {
		const {membership, clock, send} = this.parts;
		const now = clock.now();
		if (now - this.#queriedAt >= queryPeriodMilliseconds) {
			this.#queriedAt = now;
			for (const member of zonePeersOf(membership)) {
				send(member, {kind: 'who', zone: membership.self.zone});
			}
		}

		if (membership.isUnresolved(membership.self.zone) || !this.#isFirstInRank()) {
			this.#searchingSince = Number.isFinite(this.#searchingSince) ? now : this.#searchingSince;
			return false;
		}

		return now - this.#searchingSince >= searchMilliseconds;
	}

	#checkSilence(holder: MemberId): boolean {
		const {membership, clock, journal, silenceCheck} = this.parts;
		const heardAgo = membership.heardAgo(holder) ?? Number.POSITIVE_INFINITY;
		if (Math.min(heardAgo, clock.now() - this.#heardAt) <= holderSilenceMilliseconds) {
			return false;
		}

		const witnesses = silenceCheck.pollWitnesses(holder);
		if (witnesses === 0 || !this.#isFirstInRank()) {
			return false;
		}

		journal.record('holderSilent', {holder, witnesses});
		return true;
	}

	#isFirstInRank(): boolean {
		const {membership} = this.parts;
		const {self} = membership;
		const responsive = zonePeersOf(membership).filter(member => !membership.isSilent(member.id));
		return rankByKey(self.zone, [self, ...responsive], member => member.instance)[0]?.id === self.id;
	}
}
