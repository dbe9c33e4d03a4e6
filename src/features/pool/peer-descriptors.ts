/** Entries of which others told. */
import type {MemberId} from '../../base/member-id.js';
import type {PeerDescriptor} from './peer-descriptor.js';

/** Above the entries that any fleet has; those of earlier lives go first. */
const limit = 1000;

/** Keeps where entries listen that this one may have to reach, though it never met them. */
export class PeerDescriptors {
	readonly #introductions = new Map<MemberId, PeerDescriptor>();

	add(introduction: PeerDescriptor): void {
		this.#introductions.set(introduction.member.id, introduction);
		const [oldest] = this.#introductions.keys();
		if (this.#introductions.size > limit) {
			this.#introductions.delete(oldest!);
		}
	}

	get(id: MemberId): PeerDescriptor | undefined {
		return this.#introductions.get(id);
	}
}
