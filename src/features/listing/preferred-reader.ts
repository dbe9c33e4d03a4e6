/** The reader that this entry requests the target list from. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';

/** How long a reader is skipped after it failed to answer. */
const exclusionMilliseconds = 3000;

/** Keeps the same reader as long as it answers. */
export class PreferredReader {
	#current: MemberId | undefined;
	readonly #excludedUntil = new Map<MemberId, number>();

	constructor(private readonly clock: Clock) {}

	/** Returns the reader to use, if any is available. */
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

	/** Skips a reader for a while; for one that failed to answer although the store is reachable. */
	exclude(reader: MemberId): void {
		this.#excludedUntil.set(reader, this.clock.now() + exclusionMilliseconds);
	}
}
