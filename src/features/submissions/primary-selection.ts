/** Selects the primary registrar of an id. */
import type {Clock} from '../../base/clock.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Primary} from './primary.js';
import type {GroupView} from './group-view.js';
import type {RegistrarEnvironment} from './registrar-environment.js';

/** Maximum age of the instance listing of a registrar that takes over from a silent one. */
const listingFreshnessMilliseconds = 3000;

type PrimarySelectionParts = {
	readonly self: Member;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly environment: RegistrarEnvironment;
	/** Whether this registrar is active and not leaving. */
	readonly canDecide: () => boolean;
};

/** Ranks registrars by the id's hash. A backup fences a silent primary and takes over. */
export class PrimarySelection {
	constructor(private readonly view: GroupView, private readonly parts: PrimarySelectionParts) {}

	/**
	 * This registrar is the primary if it ranks first, or second behind a fenced one. It fences the first if that one is
	 * silent and this registrar is on the instance list; otherwise its peers may have removed it from their views.
	 */
	primaryOf(id: SubmissionId): Primary {
		const ranked = this.view.rank(id);
		for (const [index, member] of ranked.entries()) {
			if (member.id === this.parts.self.id) {
				return {kind: 'self', backup: ranked[index + 1]};
			}

			if (!this.#mayActInsteadOf(member, ranked[index + 1])) {
				return {kind: 'other', member};
			}
		}

		return {kind: 'other', member: this.parts.self};
	}

	#mayActInsteadOf(member: Member, next: Member | undefined): boolean {
		// Only the backup can prevent the primary from granting, by rejecting its copies. A registrar ranked third can't,
		// even if it fenced the primary for other ids.
		if (next?.id !== this.parts.self.id || !this.#isListed()) {
			return false;
		}

		if (this.view.isFenced(member.id)) {
			return true;
		}

		if (!this.parts.canDecide() || !this.parts.environment.isSilent(member.id)) {
			return false;
		}

		this.parts.journal.record('registrarTakenOver', {silent: member.id});
		this.view.fence(member.id);
		return true;
	}

	#isListed(): boolean {
		const {listedAt} = this.parts.environment;
		return listedAt !== undefined && this.parts.clock.now() - listedAt < listingFreshnessMilliseconds;
	}
}
