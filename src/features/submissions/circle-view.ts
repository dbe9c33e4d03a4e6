/** The registrars of a zone as one of them sees them. */
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Member} from '../../runtime/peers/member.js';

type Departure = {
	readonly member: Member;
	readonly at: number;
	/** Members that may still have to give a second place to records that the loss left single. */
	readonly awaiting: Set<MemberId>;
	/** One of those was lost too: some records may be gone for good. */
	isFinal: boolean;
	/** It may have fenced this registrar and granted in its place, which nobody else knows of. */
	readonly mayHaveActed: boolean;
};

/**
 * Who has a place for an id: the members ranked by the id's hash, the first as owner, the next as the copy's holder. A
 * fenced member keeps its rank, but a later one acts in its place, and takes no copies from it.
 */
export class CircleView {
	readonly #members = new Map<MemberId, {readonly member: Member; readonly era: number}>();
	readonly #fenced = new Set<MemberId>();
	readonly #departures = new Map<MemberId, Departure>();

	constructor(private readonly self: Member) {}

	/** The latest time at which records may have been lost, for those who enter later; 0 for never. */
	get latestDoubleLoss(): number {
		const departures = [...this.#departures.values()];
		const isCertain = departures.length < 2 && !departures.some(({mayHaveActed}) => mayHaveActed);
		return isCertain ? 0 : Math.max(...departures.map(({at}) => at));
	}

	/** The others. */
	get members(): readonly Member[] {
		return [...this.#members.values()].map(({member}) => member);
	}

	get fenced(): readonly MemberId[] {
		return [...this.#fenced];
	}

	has(id: MemberId): boolean {
		return this.#members.has(id);
	}

	/** Whether a message of that era of a member is to be trusted. */
	isCurrent(id: MemberId, era: number): boolean {
		return this.#members.get(id)?.era === era && !this.#fenced.has(id);
	}

	isFenced(id: MemberId): boolean {
		return this.#fenced.has(id);
	}

	/** A member enters, or enters again: an earlier fence is over. */
	add(member: Member, era: number): void {
		this.#members.set(member.id, {member, era});
		this.#fenced.delete(member.id);
	}

	fence(id: MemberId): void {
		this.#fenced.add(id);
	}

	clear(): void {
		this.#members.clear();
		this.#fenced.clear();
	}

	/**
	 * A member is gone. Without a handover, what only it and other lost members had may be lost until it's restored; and
	 * where it was out of touch with this one before its end, it may have granted in this one's place.
	 */
	remove(id: MemberId, manner: 'handedOver' | 'inTouch' | 'outOfTouch', at: number): void {
		const known = this.#members.get(id);
		this.#members.delete(id);
		this.#fenced.delete(id);
		const mayHaveActed = manner === 'outOfTouch';
		const isFinal = this.#stopAwaiting(id, manner === 'handedOver') || mayHaveActed;
		if (known !== undefined && manner !== 'handedOver') {
			const awaiting = new Set([this.self.id, ...this.#members.keys()]);
			this.#departures.set(id, {
				member: known.member, at, awaiting, isFinal, mayHaveActed,
			});
		}
	}

	/** A member has given all its records a second place after a loss. */
	restore(lost: MemberId, by: MemberId): void {
		const departure = this.#departures.get(lost);
		departure?.awaiting.delete(by);
		if (departure?.awaiting.size === 0 && !departure.isFinal) {
			this.#departures.delete(lost);
		}
	}

	/** This registrar and the others in the order of an id. */
	rank(id: SubmissionId): readonly Member[] {
		return rankByKey(id, [this.self, ...this.members], member => member.instance);
	}

	/** The rank without this registrar, for what it hands over. */
	rankOfOthers(id: SubmissionId): readonly Member[] {
		return rankByKey(id, this.members, member => member.instance);
	}

	/**
	 * When the records of an id may have been lost, if they may: with the latest loss, where two members rank before this
	 * one that are fenced, or were lost and aren't restored. Where one does at most, this one was the owner or had the
	 * copy. A fenced one counts: it may have died or paused before it gave its records a second place after the loss.
	 */
	lostAt(id: SubmissionId): number | undefined {
		const departures = [...this.#departures.values()];
		const hasActed = departures.some(({mayHaveActed}) => mayHaveActed);
		if (departures.length === 0 || (!hasActed && departures.length + this.#fenced.size < 2)) {
			return undefined;
		}

		const extended = rankByKey(id, [this.self, ...this.members, ...departures.map(({member}) => member)], member => member.instance);
		const before = extended.slice(0, extended.findIndex(member => member.id === this.self.id));
		const lost = departures.filter(({member}) => before.some(other => other.id === member.id));
		const fenced = before.filter(member => this.#fenced.has(member.id));
		const acted = departures.filter(departure => departure.mayHaveActed && !lost.includes(departure));
		const doubtful = lost.length > 0 && lost.length + fenced.length >= 2 ? [...lost, ...acted] : acted;
		return doubtful.length === 0 ? undefined : Math.max(...doubtful.map(({at}) => at));
	}

	/**
	 * A member that goes while others' losses wait for it: where it handed everything over, that's as good as restored;
	 * where it died, it may have been the last to have what the others had. Returns whether it was.
	 */
	#stopAwaiting(id: MemberId, wasHandedOver: boolean): boolean {
		let isFinal = false;
		for (const [lost, departure] of this.#departures) {
			if (!departure.awaiting.has(id)) {
				continue;
			}

			if (wasHandedOver) {
				this.restore(lost, id);
			} else {
				departure.isFinal = true;
				isFinal = true;
			}
		}

		return isFinal;
	}
}
