/** Conditions under which an entry may take over the arbiter role of its zone. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Membership} from '../membership/membership.js';
import type {SilenceCheck} from './silence-check.js';
import type {ElectionMessage} from './election-message.js';
import {zonePeersOf} from './zone-peers-of.js';

/** An arbiter that hasn't been heard for this long has lost its lease and no longer grants slots. */
const holderSilenceMilliseconds = 2500;
/** Interval between queries while no arbiter is known. */
const queryPeriodMilliseconds = 200;
/** Minimum time to search for an arbiter before taking over a vacant role. */
const searchMilliseconds = 300;

type CandidacyParts = {
	readonly membership: Membership;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly silenceCheck: SilenceCheck;
	readonly send: (to: Member, message: ElectionMessage) => void;
};

/**
 * Only the entry that is first in rank takes over: a vacant role when no peer reports an arbiter, or the role of a
 * silent arbiter when witnesses confirm the silence.
 */
export class Candidacy {
	#heardAt: number;
	#queriedAt = Number.NEGATIVE_INFINITY;
	#searchingSince: number;

	constructor(private readonly parts: CandidacyParts) {
		this.#heardAt = parts.clock.now();
		this.#searchingSince = parts.clock.now();
	}

	/**
	 * Queries peers for the arbiter or its liveness as needed; returns whether this entry should take over the role
	 * now.
	 */
	shouldTakeOver(holder: MemberId | undefined): boolean {
		return holder === undefined ? this.#checkVacancy() : this.#checkSilence(holder);
	}

	/**
	 * Restarts the silence timeout, after a message from the arbiter or a time in which this entry couldn't receive
	 * one.
	 */
	resetSilenceTimer(): void {
		this.#heardAt = this.parts.clock.now();
	}

	/** Restarts the search after this entry lost the role during a pause. */
	restart(): void {
		this.resetSilenceTimer();
		this.#searchingSince = this.parts.clock.now();
	}

	/** The arbiter is known to be gone, so no search is needed before a takeover. */
	holderLost(): void {
		this.#searchingSince = Number.NEGATIVE_INFINITY;
	}

	/** Queries all peers of the zone; only the first in rank takes over, if no peer reports an arbiter. */
	#checkVacancy(): boolean {
		const {membership, clock, send} = this.parts;
		const now = clock.now();
		if (now - this.#queriedAt >= queryPeriodMilliseconds) {
			this.#queriedAt = now;
			for (const member of zonePeersOf(membership)) {
				send(member, {kind: 'who', zone: membership.self.zone});
			}
		}

		if (membership.hasUnresolvedInstances(membership.self.zone) || !this.#isFirstInRank()) {
			this.#searchingSince = Number.isFinite(this.#searchingSince) ? now : this.#searchingSince;
			return false;
		}

		return now - this.#searchingSince >= searchMilliseconds;
	}

	#checkSilence(holder: MemberId): boolean {
		const {membership, clock, journal, silenceCheck} = this.parts;
		const heardAgo = membership.millisecondsSinceHeard(holder) ?? Number.POSITIVE_INFINITY;
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
		const responsive = zonePeersOf(membership).filter(member => !membership.isUnresponsive(member.id));
		return rankByKey(self.zone, [self, ...responsive], member => member.instance)[0]?.id === self.id;
	}
}
