/** Entries of which others told. */
import type {MemberId} from '../../base/member-id.js';
import type {Member} from '../../runtime/peers/member.js';

/** Above the entries that any fleet has; those of earlier lives go first. */
const limit = 1000;

/** Keeps where entries listen that this one may have to reach, though it never met them. */
export class Introductions {
	readonly #members = new Map<MemberId, Member>();

	add(member: Member): void {
		this.#members.set(member.id, member);
		const [oldest] = this.#members.keys();
		if (this.#members.size > limit) {
			this.#members.delete(oldest!);
		}
	}

	named(id: MemberId): Member | undefined {
		return this.#members.get(id);
	}
}
