/** Who decides on an id, as one registrar sees it. */
import type {Clock} from '../../base/clock.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Authority} from './authority.js';
import type {CircleView} from './circle-view.js';
import type {RegistrarSurroundings} from './registrar-surroundings.js';

/** A registrar that acts in the place of a silent one must have seen itself on the instance list so recently. */
const listedMilliseconds = 3000;

type AuthorityRuleParts = {
	readonly self: Member;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly surroundings: RegistrarSurroundings;
	/** Whether this registrar takes part at present. */
	readonly canDecide: () => boolean;
};

/** Ranks by the id's hash; fences a silent owner on behalf of the copy's holder. */
export class AuthorityRule {
	constructor(private readonly view: CircleView, private readonly parts: AuthorityRuleParts) {}

	/**
	 * This registrar decides where it ranks first, or second behind a fenced one. It fences the one before it when that
	 * one is silent and it's itself on the instance list: a registrar that the list has dropped may have been dropped by
	 * the others too.
	 */
	authorityOf(id: SubmissionId): Authority {
		const ranked = this.view.rank(id);
		for (const [index, member] of ranked.entries()) {
			if (member.id === this.parts.self.id) {
				return {kind: 'own', backup: ranked[index + 1]};
			}

			if (!this.#mayPass(member, ranked[index + 1])) {
				return {kind: 'other', member};
			}
		}

		return {kind: 'other', member: this.parts.self};
	}

	#mayPass(member: Member, next: Member | undefined): boolean {
		// Only the holder of the copy can know that the owner grants no more: a third one, though it fenced the owner for
		// other ids, can't exclude that the two grant this one together.
		if (next?.id !== this.parts.self.id || !this.#isListed()) {
			return false;
		}

		if (this.view.isFenced(member.id)) {
			return true;
		}

		if (!this.parts.canDecide() || !this.parts.surroundings.isSilent(member.id)) {
			return false;
		}

		this.parts.journal.record('registrarTakenOver', {silent: member.id});
		this.view.fence(member.id);
		return true;
	}

	#isListed(): boolean {
		const {listedAt} = this.parts.surroundings;
		return listedAt !== undefined && this.parts.clock.now() - listedAt < listedMilliseconds;
	}
}
