/** The demand that peers know of. */
import type {CapacityDemand} from '../execution/capacity-demand.js';
import type {PoolMember} from './pool-member.js';

/**
 * Remembers the demand of the latest state that each peer was sent, so that it isn't announced again while the peer would offer
 * capacity for it anyway. Any state of the peer may have been an offer, and it makes few of them for one announcement.
 */
export class AnnouncedDemand {
	readonly #announcements = new WeakMap<PoolMember, readonly CapacityDemand[]>();

	recordSent(receiver: PoolMember, demand: readonly CapacityDemand[]): void {
		this.#announcements.set(receiver, demand);
	}

	/** Records a state from a peer. */
	recordReceived(sender: PoolMember): void {
		this.#announcements.delete(sender);
	}

	/** Whether a peer still waits for capacity for all of this demand, as far as this entry knows. */
	isKnownTo(peer: PoolMember, demand: readonly CapacityDemand[]): boolean {
		const announced = this.#announcements.get(peer);
		return announced !== undefined && demand.every(waiting => isCovered(waiting, announced));
	}
}

/** Whether the peer announces each target that is large enough for the demand. */
function isCovered({service, need}: CapacityDemand, announced: readonly CapacityDemand[]): boolean {
	return announced.some(known => known.service === service && known.need.fitsInto(need));
}
