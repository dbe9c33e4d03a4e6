/** One registrar's view of the group of registrars in its zone. */
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Member} from '../../runtime/peers/member.js';

type Departure = {
	readonly member: Member;
	readonly at: number;
	/** Members that haven't yet confirmed that their records are replicated again after the loss. */
	readonly pendingRepairs: Set<MemberId>;
	/** True if one of those members was lost too, so that records may be lost permanently. */
	isPermanent: boolean;
	/** Whether it may have fenced this registrar and granted claims that no other member knows of. */
	readonly mayHaveGranted: boolean;
};

/**
 * Ranks members by the id's hash (rendezvous hashing): the first is the primary, the second the backup. A fenced member
 * keeps its rank, but the next one acts as primary and rejects its copies.
 */
export class GroupView {
	readonly #members = new Map<MemberId, {readonly member: Member; readonly era: number}>();
	readonly #fenced = new Set<MemberId>();
	readonly #departures = new Map<MemberId, Departure>();

	constructor(private readonly self: Member) {}

	/** Latest time at which records may have been lost, sent to joining registrars; 0 for never. */
	get latestPossibleLoss(): number {
		const departures = [...this.#departures.values()];
		const isComplete = departures.length < 2 && !departures.some(({mayHaveGranted}) => mayHaveGranted);
		return isComplete ? 0 : Math.max(...departures.map(({at}) => at));
	}

	/** The other members of the group. */
	get members(): readonly Member[] {
		return [...this.#members.values()].map(({member}) => member);
	}

	get fenced(): readonly MemberId[] {
		return [...this.#fenced];
	}

	has(id: MemberId): boolean {
		return this.#members.has(id);
	}

	/** Whether the era is the member's current one and the member isn't fenced. */
	isCurrent(id: MemberId, era: number): boolean {
		return this.#members.get(id)?.era === era && !this.#fenced.has(id);
	}

	isFenced(id: MemberId): boolean {
		return this.#fenced.has(id);
	}

	/** Adds a member, or updates it after it rejoined; clears an earlier fence. */
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
	 * Removes a member. Without a handover, records held only by lost members may be missing until the loss is repaired. A
	 * member that was unreachable before its loss may have granted claims in this registrar's place.
	 */
	remove(id: MemberId, manner: 'handedOver' | 'reachable' | 'unreachable', at: number): void {
		const known = this.#members.get(id);
		this.#members.delete(id);
		this.#fenced.delete(id);
		const mayHaveGranted = manner === 'unreachable';
		const isPermanent = this.#stopAwaitingRepairBy(id, manner === 'handedOver') || mayHaveGranted;
		if (known !== undefined && manner !== 'handedOver') {
			const pendingRepairs = new Set([this.self.id, ...this.#members.keys()]);
			this.#departures.set(id, {
				member: known.member, at, pendingRepairs, isPermanent, mayHaveGranted,
			});
		}
	}

	/** A member has replicated all its records again after a loss. */
	restore(lost: MemberId, by: MemberId): void {
		const departure = this.#departures.get(lost);
		departure?.pendingRepairs.delete(by);
		if (departure?.pendingRepairs.size === 0 && !departure.isPermanent) {
			this.#departures.delete(lost);
		}
	}

	/** All members, including this registrar, ranked for an id. */
	rank(id: SubmissionId): readonly Member[] {
		return rankByKey(id, [this.self, ...this.members], member => member.instance);
	}

	/** The ranking without this registrar, used for the handover. */
	rankOthers(id: SubmissionId): readonly Member[] {
		return rankByKey(id, this.members, member => member.instance);
	}

	/**
	 * Time of the latest loss that may have removed the record of an id, or undefined if none did. A record may be lost if
	 * at least two members ranked before this one are fenced or lost without repair; otherwise this registrar was the primary
	 * or the backup. Fenced members count, because they may have failed before they replicated their records again.
	 */
	possibleLossAt(id: SubmissionId): number | undefined {
		const departures = [...this.#departures.values()];
		const anyMayHaveGranted = departures.some(({mayHaveGranted}) => mayHaveGranted);
		if (departures.length === 0 || (!anyMayHaveGranted && departures.length + this.#fenced.size < 2)) {
			return undefined;
		}

		const extended = rankByKey(id, [this.self, ...this.members, ...departures.map(({member}) => member)], member => member.instance);
		const before = extended.slice(0, extended.findIndex(member => member.id === this.self.id));
		const lost = departures.filter(({member}) => before.some(other => other.id === member.id));
		const fenced = before.filter(member => this.#fenced.has(member.id));
		const uncertain = departures.filter(departure => departure.mayHaveGranted && !lost.includes(departure));
		const relevant = lost.length > 0 && lost.length + fenced.length >= 2 ? [...lost, ...uncertain] : uncertain;
		return relevant.length === 0 ? undefined : Math.max(...relevant.map(({at}) => at));
	}

	/**
	 * Updates earlier losses that await repair by a removed member. A handover completes its repair; otherwise it may have
	 * held the only copy of some records. Returns whether records may be lost permanently.
	 */
	#stopAwaitingRepairBy(id: MemberId, wasHandedOver: boolean): boolean {
		let isPermanent = false;
		for (const [lost, departure] of this.#departures) {
			if (!departure.pendingRepairs.has(id)) {
				continue;
			}

			if (wasHandedOver) {
				this.restore(lost, id);
			} else {
				departure.isPermanent = true;
				isPermanent = true;
			}
		}

		return isPermanent;
	}
}
