/** The entry that this one asks for the list of targets. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';

/** One that didn't answer isn't asked for so long, while there are others. */
const exclusionMilliseconds = 3000;

/** Stays with a reader while it answers. */
export class PreferredReader {
	#current: MemberId | undefined;
	readonly #excludedUntil = new Map<MemberId, number>();

	constructor(private readonly clock: Clock) {}

	/** The one to ask, if any. */
	choose(readers: readonly MemberId[]): MemberId | undefined {
		const now = this.clock.now();
		for (const [reader, until] of this.#excludedUntil) {
			if (until <= now) {
				this.#excludedUntil.delete(reader);
			}
		}

		const candidates = readers.filter(reader => !this.#excludedUntil.has(reader));
		this.#current = candidates.find(reader => reader === this.#current) ?? candidates[0];
		return this.#current;
	}

	/** It didn't answer although the store did. */
	exclude(reader: MemberId): void {
		this.#excludedUntil.set(reader, this.clock.now() + exclusionMilliseconds);
	}
}
