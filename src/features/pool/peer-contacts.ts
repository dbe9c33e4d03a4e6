/** When peers were last known to be alive. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';

/**
 * How long a clock difference counts at least. Long enough to contain a message that was read at once, also on an entry that
 * has been slow for seconds.
 */
const windowMilliseconds = 15_000;
/** Well above the size of any fleet; the peers that were met first are dropped first. */
const maximumPeers = 1000;

/** `smallestDifference` and its predecessor cover one window each; both are in milliseconds. */
type Contact = {lastAt: number; windowEndsAt: number; smallestDifference: number; previousDifference: number};

/**
 * Estimates when each peer sent its latest message, by this entry's monotonic clock. The time at which a message is read proves
 * nothing: it may have waited on a slow path, or in the backlog of a slow entry. The difference between the clocks is taken from
 * the message that was read soonest after it was sent.
 */
export class PeerContacts {
	readonly #contacts = new Map<MemberId, Contact>();
	/** Time that this entry's monotonic clock didn't count. Added to sent times, which would jump back for the peers otherwise. */
	#skippedMilliseconds = 0;
	/** The part of it of which isn't known yet whether this entry was suspended. Until then, contacts are taken to be older by it. */
	#unexplainedMilliseconds = 0;

	constructor(private readonly clock: Clock) {}

	/** The time to state in a message that is sent now. */
	get sendTime(): number {
		return Math.floor(this.clock.now() + this.#skippedMilliseconds);
	}

	/** Records a message that a peer sent at a time of its own clock. */
	record(member: MemberId, sentAt: number): void {
		const now = this.clock.now();
		const difference = now - sentAt;
		const contact = this.#contacts.get(member) ?? this.#add(member, {
			lastAt: Number.NEGATIVE_INFINITY, windowEndsAt: now + windowMilliseconds, smallestDifference: difference, previousDifference: difference,
		});
		if (this.#unexplainedMilliseconds === 0) {
			updateDifference(contact, difference, now);
		}

		const smallest = Math.min(contact.smallestDifference, contact.previousDifference);
		contact.lastAt = Math.max(contact.lastAt, sentAt + smallest - this.#unexplainedMilliseconds);
	}

	/** The time of the latest message from a peer; undefined if there was none. */
	lastContact(member: MemberId): number | undefined {
		return this.#contacts.get(member)?.lastAt;
	}

	/** Records time that only this entry's wall clock counted: if it was suspended, all contacts are older by that time. */
	recordSkippedTime(milliseconds: number): void {
		this.#unexplainedMilliseconds += milliseconds;
		for (const contact of this.#contacts.values()) {
			contact.lastAt -= milliseconds;
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

	#add(member: MemberId, contact: Contact): Contact {
		this.#contacts.set(member, contact);
		const [oldest] = this.#contacts.keys();
		if (this.#contacts.size > maximumPeers) {
			this.#contacts.delete(oldest!);
		}

		return contact;
	}
}

function updateDifference(contact: Contact, difference: number, now: number): void {
	if (now >= contact.windowEndsAt) {
		contact.windowEndsAt = now + windowMilliseconds;
		contact.previousDifference = contact.smallestDifference;
		contact.smallestDifference = difference;
	}

	contact.smallestDifference = Math.min(contact.smallestDifference, difference);
}
