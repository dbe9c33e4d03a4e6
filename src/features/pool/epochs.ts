/** The epochs between this entry and each other one, both ways. */
import type {MemberId} from '../../base/member-id.js';
import type {Epoch} from './epoch.js';

const first: Epoch = {losses: 0, pauses: 0};

/** What a frame states: its sender's epoch for the receiver, and the receiver's for the sender as it was last heard. */
type FrameEpochs = {readonly epoch: Epoch; readonly acknowledgedEpoch: Epoch};

/**
 * Orders what entries ask of each other by their losses and pauses, which holds for however long an entry stood still and
 * whatever its clocks made of that.
 */
export class Epochs {
	readonly #losses = new Map<MemberId, number>();
	readonly #heard = new Map<MemberId, Epoch>();
	/** Entries of whose latest loss of this one nothing more has to be learned: the silence was noticed here as well. */
	readonly #noticed = new Set<MemberId>();
	#pauses = 0;

	/** This entry's epoch for another one. */
	local(member: MemberId): Epoch {
		return {losses: this.#losses.get(member) ?? 0, pauses: this.#pauses};
	}

	/** Another entry's epoch for this one, as it was last heard. */
	remote(member: MemberId): Epoch {
		return this.#heard.get(member) ?? first;
	}

	/** This entry has taken another one as lost. */
	recordLoss(member: MemberId): void {
		this.#losses.set(member, this.local(member).losses + 1);
		this.#noticed.add(member);
	}

	/** This entry was out of touch with the others. */
	recordPause(): void {
		this.#pauses += 1;
		for (const member of this.#heard.keys()) {
			this.#noticed.add(member);
		}
	}

	/** Whether what a member asks for was sent in this entry's present epoch. */
	isCurrent(member: MemberId, {acknowledgedEpoch}: FrameEpochs): boolean {
		const own = this.local(member);
		return acknowledgedEpoch.losses === own.losses && acknowledgedEpoch.pauses === own.pauses;
	}

	/**
	 * Takes what a member states; true where it has taken this entry as lost, and this entry hasn't noticed. What a member states
	 * before it has heard of this entry's present epoch was under way while that changed.
	 */
	observe(member: MemberId, stated: FrameEpochs): boolean {
		const {epoch} = stated;
		const known = this.#heard.get(member);
		if (known === undefined || epoch.losses > known.losses || epoch.pauses > known.pauses) {
			// Frames on a former connection may be read after those on the present one.
			this.#heard.set(member, {losses: Math.max(epoch.losses, known?.losses ?? 0), pauses: Math.max(epoch.pauses, known?.pauses ?? 0)});
		}

		const isNew = this.isCurrent(member, stated) && !this.#noticed.delete(member);
		return isNew && known !== undefined && epoch.losses > known.losses;
	}
}
