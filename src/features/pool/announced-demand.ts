/** The demand that peers know of. */
import type {CapacityDemand} from '../execution/capacity-demand.js';
import type {PoolMember} from './pool-member.js';

/** The demand of the latest state that a peer was sent, and how many states it has sent since. */
type Announcement = {readonly demand: readonly CapacityDemand[]; statesReceived: number};

/** Remembers the demand that each peer was sent, so that it isn't announced again while the peer would offer capacity for it anyway. */
export class AnnouncedDemand {
	readonly #announcements = new WeakMap<PoolMember, Announcement>();

	/** `answersPerDemand` is how many states a peer with free capacity sends for one announcement. */
	constructor(private readonly answersPerDemand: number) {}

	recordSent(receiver: PoolMember, demand: readonly CapacityDemand[]): void {
		this.#announcements.set(receiver, {demand, statesReceived: 0});
	}

	/** Records a state from a peer, each of which may have been an offer. */
	recordReceived(sender: PoolMember): void {
		const known = this.#announcements.get(sender);
		if (known !== undefined) {
			known.statesReceived += 1;
		}
	}

	/** Whether a peer still waits for capacity for all of this demand, as far as this entry knows. */
	isKnownTo(peer: PoolMember, demand: readonly CapacityDemand[]): boolean {
		const known = this.#announcements.get(peer);
		return known !== undefined && known.statesReceived < this.answersPerDemand && demand.every(waiting => isCovered(waiting, known.demand));
	}
}

/** Whether the peer announces each target that is large enough for the demand. */
function isCovered({service, need}: CapacityDemand, announced: readonly CapacityDemand[]): boolean {
	return announced.some(known => known.service === service && known.need.fitsInto(need));
}
