/** The epochs between this entry and its peers, in both directions. */
import type {MemberId} from '../../base/member-id.js';
import type {Epoch} from './epoch.js';

const initialEpoch: Epoch = {losses: 0, pauses: 0};

/** The epochs in a frame: the sender's for the receiver, and the receiver's for the sender as last received. */
type FrameEpochs = {readonly epoch: Epoch; readonly acknowledgedEpoch: Epoch};

/** Rejects requests from before a loss or a stall, without relying on clocks, which may not count the time of a stall. */
export class Epochs {
	readonly #losses = new Map<MemberId, number>();
	readonly #remote = new Map<MemberId, Epoch>();
	/** Peers whose next declared loss of this entry is already accounted for, because this entry noticed the interruption as well. */
	readonly #accounted = new Set<MemberId>();
	#pauses = 0;

	/** This entry's epoch for a peer. */
	local(member: MemberId): Epoch {
		return {losses: this.#losses.get(member) ?? 0, pauses: this.#pauses};
	}

	/** A peer's epoch for this entry, as last received. */
	remote(member: MemberId): Epoch {
		return this.#remote.get(member) ?? initialEpoch;
	}

	/** Records that this entry has declared a peer lost. */
	recordLoss(member: MemberId): void {
		this.#losses.set(member, this.local(member).losses + 1);
		this.#accounted.add(member);
	}

	/** Records that this entry has stalled. */
	recordPause(): void {
		this.#pauses += 1;
		for (const member of this.#remote.keys()) {
			this.#accounted.add(member);
		}
	}

	/** Whether a frame was sent in this entry's current epoch. */
	isCurrent(member: MemberId, {acknowledgedEpoch}: FrameEpochs): boolean {
		const own = this.local(member);
		return acknowledgedEpoch.losses === own.losses && acknowledgedEpoch.pauses === own.pauses;
	}

	/**
	 * Records the epochs of a frame. Returns whether the peer has declared this entry lost without this entry having noticed. Frames
	 * from before the peer received this entry's current epoch don't count.
	 */
	observe(member: MemberId, frame: FrameEpochs): boolean {
		const {epoch} = frame;
		const known = this.#remote.get(member);
		if (known === undefined || epoch.losses > known.losses || epoch.pauses > known.pauses) {
			// Frames of a previous connection may be read after those of the current one.
			this.#remote.set(member, {losses: Math.max(epoch.losses, known?.losses ?? 0), pauses: Math.max(epoch.pauses, known?.pauses ?? 0)});
		}

		const isNew = this.isCurrent(member, frame) && !this.#accounted.delete(member);
		return isNew && known !== undefined && epoch.losses > known.losses;
	}
}
