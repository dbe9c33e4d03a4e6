/** Peers that this entry knows from other peers. */
import type {MemberId} from '../../base/member-id.js';
import type {PeerDescriptor} from './peer-descriptor.js';

/** Well above the size of any fleet; the oldest descriptors are dropped first. */
const maximumDescriptors = 1000;

/** Stores the addresses of peers that this entry may have to contact without having been connected to them before. */
export class PeerDescriptors {
	readonly #descriptors = new Map<MemberId, PeerDescriptor>();

	add(descriptor: PeerDescriptor): void {
		this.#descriptors.set(descriptor.member.id, descriptor);
		const [oldest] = this.#descriptors.keys();
		if (this.#descriptors.size > maximumDescriptors) {
			this.#descriptors.delete(oldest!);
		}
	}

	get(id: MemberId): PeerDescriptor | undefined {
		return this.#descriptors.get(id);
	}
}
