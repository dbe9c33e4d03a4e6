/** Peers that this entry knows from other peers. */
import type {MemberId} from '../../base/member-id.js';
import type {PeerDescriptor} from './peer-descriptor.js';

/** Well above the size of any fleet; the oldest descriptors are dropped first. */
const maximumDescriptors = 1000;

/** Stores the addresses of peers that this entry may have to contact without having been connected to them before. */
export class PeerDescriptors {
	readonly #descriptors = new Map<MemberId, PeerDescriptor>();
	readonly #heardAt = new Map<MemberId, number>();

	/** `describedAt` is the monotonic time at which the other peer sent the descriptor. */
	add(descriptor: PeerDescriptor, describedAt: number): void {
		const {member: {id}, silentMilliseconds} = descriptor;
		this.#descriptors.set(id, descriptor);
		this.#heardAt.set(id, Math.max(describedAt - silentMilliseconds, this.heardAt(id)));
		const [oldest] = this.#descriptors.keys();
		if (this.#descriptors.size > maximumDescriptors) {
			this.#descriptors.delete(oldest!);
			this.#heardAt.delete(oldest!);
		}
	}

	get(id: MemberId): PeerDescriptor | undefined {
		return this.#descriptors.get(id);
	}

	/** Records time that only this entry's wall clock counted: if it was suspended, all peers were heard earlier by that time. */
	recordSkippedTime(milliseconds: number): void {
		for (const [id, heardAt] of this.#heardAt) {
			this.#heardAt.set(id, heardAt - milliseconds);
		}
	}

	/** When a peer was last heard by one that described it; negative infinity if it never was described. */
	heardAt(id: MemberId): number {
		return this.#heardAt.get(id) ?? Number.NEGATIVE_INFINITY;
	}
}
