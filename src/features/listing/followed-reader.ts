/** The entry that this one asks for the list of targets. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';

/** One that didn't answer isn't asked for so long, while there are others. */
const asideMilliseconds = 3000;

/** Stays with a reader while it answers. */
export class FollowedReader {
	#current: MemberId | undefined;
	readonly #asideUntil = new Map<MemberId, number>();

	constructor(private readonly clock: Clock) {}

	/** The one to ask, if any. */
	choose(readers: readonly MemberId[]): MemberId | undefined {
		const now = this.clock.now();
		for (const [reader, until] of this.#asideUntil) {
			if (until <= now) {
				this.#asideUntil.delete(reader);
			}
		}

		const sound = readers.filter(reader => !this.#asideUntil.has(reader));
		this.#current = sound.find(reader => reader === this.#current) ?? sound[0];
		return this.#current;
	}

	/** It didn't answer although the store did. */
	setAside(reader: MemberId): void {
		this.#asideUntil.set(reader, this.clock.now() + asideMilliseconds);
	}
}
