/** Entries of which others told. */
import type {MemberId} from '../../base/member-id.js';
import type {Introduction} from './introduction.js';

/** Above the entries that any fleet has; those of earlier lives go first. */
const limit = 1000;

/** Keeps where entries listen that this one may have to reach, though it never met them. */
export class Introductions {
	readonly #introductions = new Map<MemberId, Introduction>();

	add(introduction: Introduction): void {
		this.#introductions.set(introduction.member.id, introduction);
		const [oldest] = this.#introductions.keys();
		if (this.#introductions.size > limit) {
			this.#introductions.delete(oldest!);
		}
	}

	named(id: MemberId): Introduction | undefined {
		return this.#introductions.get(id);
	}
}
