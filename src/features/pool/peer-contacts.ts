/** When peers were last known to be alive. */
import type {Clock} from '../../base/clock.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import type {ClockGap} from '../../runtime/clock-gap.js';
import {confirmedPauseThresholdMilliseconds} from '../../runtime/confirmed-pause-threshold.js';
import {heartbeats} from './heartbeats.js';
import type {ReadingDelay} from './reading-delay.js';

/**
 * How long a clock difference counts at least. Long enough to contain a message that was read at once, also on an entry that
 * has been slow for seconds.
 */
const windowMilliseconds = 15_000;
/** Well above the size of any fleet; the peers that were met first are dropped first. */
const maximumPeers = 1000;

/** Messages that differ by less count as equally fast. */
const fastMessageMilliseconds = 100;
/** With fewer fast messages, all of them may have been held up. */
const leastFastMessages = 2;

/** Adjustments of a wall clock, by which the length that a peer states of a real suspension may be too long. */
const clockAdjustmentMilliseconds = 50;
/**
 * How long messages of a peer that wrongly counted a suspension are taken to be as old as they can be. The stops of the jobs that it
 * gives up are read meanwhile: their callers resubmit after 1300 ms.
 */
const wrongSkipMilliseconds = 1500;

/**
 * The age that the last contact with this entry may reach on its peers before its next message arrives. Its runs on their targets end
 * at 1200 ms; the rest is for peers that are slow themselves, and for the next renewal.
 */
const longestContactAgeMilliseconds = 850;
/** The longest interval between two heartbeats to a peer in use, without the delay of the timer for it. */
const heartbeatMilliseconds = 150;

/**
 * `aliveAt` is when the latest message was sent, and `lastAt` the same less the reading delay. `smallestDifference` and its predecessor
 * cover one window each; both are in milliseconds. `skippedMilliseconds` and `readingDelayMilliseconds` are the latest that the peer
 * stated.
 */
type Contact = {
	aliveAt: number;
	lastAt: number;
	windowEndsAt: number;
	smallestDifference: number;
	previousDifference: number;
	skippedMilliseconds: number;
	readingDelayMilliseconds: number;
	/** When a message was last read that didn't seem to come from the future. */
	plausibleAt: number;
	/** How many messages were about as fast as the fastest one. */
	fastMessages: number;
};

/**
 * Estimates when each peer sent its latest message, by this entry's monotonic clock. The time at which a message is read proves
 * nothing: it may have waited on a slow path, or in the backlog of a slow entry. The difference between the clocks is taken from
 * the message that was read soonest after it was sent.
 */
export class PeerContacts {
	readonly #contacts = new Map<MemberId, Contact>();
	readonly #clockGap = new Emitter<ClockGap>();
	/** Duration of this entry's suspensions. Added to sent times, which would fall behind for the peers otherwise. */
	#skippedMilliseconds = 0;
	/** Time that may have been a suspension; until that is known, contacts are taken to be older by it. */
	#unexplainedMilliseconds = 0;

	constructor(private readonly clock: Clock, private readonly readingDelay: Pick<ReadingDelay, 'milliseconds'>) {}

	/** Fires with the time by which a peer's clock has advanced more than this entry's, if it was suspended for as long as a confirmed pause. */
	get onDidFindClockGap() {
		return this.#clockGap.event;
	}

	/** The time to state in a message that is sent now. */
	get sendTime(): number {
		return Math.floor(this.clock.now() + this.#skippedMilliseconds);
	}

	/** The part of the time to state by which this entry's clock is taken to be behind. */
	get skippedMilliseconds(): number {
		return Math.round(this.#skippedMilliseconds);
	}

	/**
	 * By how much this entry's contacts count as earlier, because it may not have read yet that a caller has disconnected. Less than the
	 * delay itself if its heartbeats are so late that peers would end its runs.
	 */
	get readingDelayMilliseconds(): number {
		const {milliseconds} = this.readingDelay;
		// The timer for the heartbeat and the frame are late as well.
		return Math.max(0, Math.min(milliseconds, longestContactAgeMilliseconds - heartbeatMilliseconds - (2 * milliseconds)));
	}

	/**
	 * Records a message that a peer sent at a time of its own clock, which includes the skipped time that the peer states. The peer may
	 * have read its input later than it arrived, by the given delay. Returns the estimated time of sending by this entry's clock.
	 */
	record(member: MemberId, sentAt: number, skippedMilliseconds = 0, readingDelayMilliseconds = 0): number {
		const now = this.clock.now();
		const difference = now - sentAt;
		const contact = this.#contacts.get(member) ?? this.#add(member, {
			aliveAt: Number.NEGATIVE_INFINITY, lastAt: Number.NEGATIVE_INFINITY, windowEndsAt: now + windowMilliseconds, smallestDifference: difference, previousDifference: difference,
			skippedMilliseconds, readingDelayMilliseconds, plausibleAt: now, fastMessages: 0,
		});
		contact.readingDelayMilliseconds = readingDelayMilliseconds;
		const added = Math.max(0, skippedMilliseconds - contact.skippedMilliseconds);
		const estimate = sentAt + smallestDifferenceOf(contact) - this.#unexplainedMilliseconds;
		// A message from the future: the peer wasn't suspended, and this message may be as late as the former ones. One from the near
		// future comes from a peer that was suspended while its wall clock was corrected.
		this.#checkAhead(contact, estimate - now, added, now);
		const isWrong = added > 0 && estimate > now + Math.max(clockAdjustmentMilliseconds, added / 2);
		if (this.#unexplainedMilliseconds === 0) {
			contact.skippedMilliseconds += added;
			if (isWrong) {
				restartDifference(contact, added, now);
			}

			recordSpeed(contact, difference);
			updateDifference(contact, difference, now);
		}

		const sentAtHere = isWrong ? estimate - added : sentAt + smallestDifferenceOf(contact) - this.#unexplainedMilliseconds;
		const aliveAt = Math.min(sentAtHere, now);
		contact.lastAt = Math.max(contact.lastAt, aliveAt - Math.min(readingDelayMilliseconds, this.#longestReadingDelay(contact, now)));
		contact.aliveAt = Math.max(contact.aliveAt, aliveAt);
		return aliveAt;
	}

	/** The time of the latest message from a peer, less the delay with which the peer reads; undefined if there was none. */
	lastContact(member: MemberId): number | undefined {
		return this.#contacts.get(member)?.lastAt;
	}

	/** The time of the latest message from a peer; undefined if there was none. */
	lastAlive(member: MemberId): number | undefined {
		return this.#contacts.get(member)?.aliveAt;
	}

	/** How late a peer reads its input, as it stated in its latest message; undefined if there was none. */
	statedReadingDelay(member: MemberId): number | undefined {
		return this.#contacts.get(member)?.readingDelayMilliseconds;
	}

	/** Records time that only this entry's wall clock counted: if it was suspended, all contacts are older by that time. */
	recordSkippedTime(milliseconds: number): void {
		this.#unexplainedMilliseconds += milliseconds;
		for (const contact of this.#contacts.values()) {
			contact.lastAt -= milliseconds;
			contact.aliveAt -= milliseconds;
		}
	}

	/** Records how much of the skipped time was a suspension, by which this entry's clock is behind now. */
	explainSkippedTime(suspendedMilliseconds: number): void {
		this.#unexplainedMilliseconds = 0;
		this.#skippedMilliseconds += suspendedMilliseconds;
		for (const contact of this.#contacts.values()) {
			contact.smallestDifference -= suspendedMilliseconds;
			contact.previousDifference -= suspendedMilliseconds;
		}
	}

	/**
	 * By how much the contact with a peer may count as earlier without ending the peer's runs here: the next message takes about as long
	 * as this one did after the previous, and this entry's renewals are late by its own delays of reading it and the target's answer.
	 */
	#longestReadingDelay({aliveAt}: Contact, now: number): number {
		const ownDelays = 2 * this.readingDelay.milliseconds;
		const age = now - aliveAt;
		// A peer with runs here is lost after such an interval, and its runs are stopped: this one lies between idle heartbeats.
		const isIdle = age > heartbeats.active.timeoutMilliseconds + ownDelays;
		return Math.max(0, longestContactAgeMilliseconds - ownDelays - (isIdle ? heartbeatMilliseconds : age));
	}

	/**
	 * A message that seems to come from the future shows that this entry was suspended, unless the peer has just added time to its own, or
	 * all its messages before were held up. A message that was read late seems to be earlier, so that the suspension is at least as long.
	 */
	#checkAhead(contact: Contact, aheadMilliseconds: number, added: number, now: number): void {
		if (aheadMilliseconds <= clockAdjustmentMilliseconds || added > 0) {
			contact.plausibleAt = now;
		} else if (aheadMilliseconds > confirmedPauseThresholdMilliseconds && contact.fastMessages >= leastFastMessages) {
			this.#clockGap.fire({
				milliseconds: aheadMilliseconds, since: contact.plausibleAt, comparedSince: contact.plausibleAt, requestedAt: Number.NEGATIVE_INFINITY,
			});
		}
	}

	#add(member: MemberId, contact: Contact): Contact {
		this.#contacts.set(member, contact);
		const [oldest] = this.#contacts.keys();
		if (this.#contacts.size > maximumPeers) {
			this.#contacts.delete(oldest!);
		}

		return contact;
	}
}

function smallestDifferenceOf({smallestDifference, previousDifference}: Contact): number {
	return Math.min(smallestDifference, previousDifference);
}

/** Corrects the difference by time that the peer added wrongly, and learns it again from the messages that follow. */
function restartDifference(contact: Contact, added: number, now: number): void {
	contact.previousDifference = smallestDifferenceOf(contact) - added;
	contact.smallestDifference = Number.POSITIVE_INFINITY;
	contact.windowEndsAt = now + wrongSkipMilliseconds;
}

/** Counts a message that was about as fast as the fastest one; one that was faster begins the count anew. */
function recordSpeed(contact: Contact, difference: number): void {
	const slowerMilliseconds = difference - smallestDifferenceOf(contact);
	if (slowerMilliseconds < -fastMessageMilliseconds) {
		contact.fastMessages = 0;
	}

	contact.fastMessages += slowerMilliseconds <= fastMessageMilliseconds ? 1 : 0;
}

function updateDifference(contact: Contact, difference: number, now: number): void {
	if (now >= contact.windowEndsAt) {
		contact.windowEndsAt = now + windowMilliseconds;
		contact.previousDifference = contact.smallestDifference;
		contact.smallestDifference = difference;
	}

	contact.smallestDifference = Math.min(contact.smallestDifference, difference);
}
