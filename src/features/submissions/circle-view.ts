/** The registrars of a zone as one of them sees them. */
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Member} from '../../platform/peers/member.js';

type Departure = {readonly member: Member; readonly at: number; readonly awaiting: Set<MemberId>};

/**
 * Who has a place for an id: the members ranked by the id's hash, the first as owner, the next as the copy's holder. A
 * fenced member keeps its rank, but a later one acts in its place, and takes no copies from it.
 */
export class CircleView {
	readonly #members = new Map<MemberId, {readonly member: Member; readonly era: number}>();
	readonly #fenced = new Set<MemberId>();
	readonly #departures = new Map<MemberId, Departure>();

	constructor(private readonly self: Member) {}

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

	/** A member is gone. Without a handover, what only it and other lost members had may be lost until it's restored. */
	remove(id: MemberId, wasHandedOver: boolean, at: number): void {
		const known = this.#members.get(id);
		this.#members.delete(id);
		this.#fenced.delete(id);
		for (const departure of this.#departures.values()) {
			departure.awaiting.delete(id);
		}

		if (known !== undefined && !wasHandedOver) {
			this.#departures.set(id, {member: known.member, at, awaiting: new Set([this.self.id, ...this.#members.keys()])});
		}
	}

	/** A member has given all its records a second place after a loss; returns whether all have. */
	restore(lost: MemberId, by: MemberId): void {
		const departure = this.#departures.get(lost);
		departure?.awaiting.delete(by);
		if (departure?.awaiting.size === 0) {
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
	 * When the records of an id may have been lost, if they may: with the latest loss, where two members that aren't
	 * restored rank before this one. Where one does at most, this one was the owner or had the copy.
	 */
	lostAt(id: SubmissionId): number | undefined {
		if (this.#departures.size < 2) {
			return undefined;
		}

		const departures = [...this.#departures.values()];
		const extended = rankByKey(id, [this.self, ...this.members, ...departures.map(({member}) => member)], member => member.instance);
		const before = extended.slice(0, extended.findIndex(member => member.id === this.self.id));
		const lost = departures.filter(({member}) => before.some(other => other.id === member.id));
		return lost.length >= 2 ? Math.max(...lost.map(({at}) => at)) : undefined;
	}
}
