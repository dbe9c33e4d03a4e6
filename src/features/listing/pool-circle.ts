/** The entries of a zone, as the pool knows them, as a reading circle. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {KnownEntry} from '../pool/known-entry.js';
import type {Pool} from '../pool/pool.js';
import {smallFleet} from '../pool/small-fleet.js';
import type {ListPassage} from './list-passage.js';
import type {ListQuestion} from './list-question.js';
import {ReadingCircle} from './reading-circle.js';
import type {ReadingRole} from './reading-role.js';

/** One may be gone, and one may be cut off. */
const readersOfZone = 3;
/** How long the directory of entries may take before an entry that has just started reads for itself. */
const directoryMilliseconds = 300;
/** So long after the start few entries are met, and those that the directory names count. */
const meetingMilliseconds = 500;
/** Some that it names may be gone: with no more than this an entry that starts doesn't wait for one that may not be there. */
const smallDirectory = 3 * smallFleet;

/** What the circle works with. */
type PoolCircleParts = {
	readonly pool: Pool;
	readonly self: {readonly address: string; readonly zone: AvailabilityZone};
	readonly clock: Clock;
};

/** The readers of a zone are chosen by rendezvous hashing; which of them an entry asks first, by another. */
export class PoolCircle extends ReadingCircle implements Disposable {
	readonly #ask = new Emitter<{readonly from: MemberId; readonly question: ListQuestion}>();
	readonly #answer = new Emitter<{readonly from: MemberId; readonly passage: ListPassage}>();
	readonly #store = new DisposableStore();
	/** By address, those that the directory names; this entry as well. */
	readonly #named = new Map<string, AvailabilityZone | undefined>();
	readonly #startedAt: number;

	constructor(private readonly parts: PoolCircleParts) {
		super();
		this.#startedAt = parts.clock.now();
		this.#store.add(parts.pool.onDidReceive(({from, message}) => {
			if (message.kind === 'askList') {
				this.#ask.fire({from: from.id, question: message.question});
			} else if (message.kind === 'list') {
				this.#answer.fire({from: from.id, passage: message.passage});
			}
		}));
	}

	override get onDidAsk() {
		return this.#ask.event;
	}

	override get onDidAnswer() {
		return this.#answer.event;
	}

	override get role(): ReadingRole {
		if (this.#named.size === 0 && this.#age < directoryMilliseconds) {
			return 'unsettled';
		}

		if (this.#isSmall) {
			return 'alone';
		}

		if (this.#chosen.includes(this.parts.self.address)) {
			return 'reader';
		}

		return this.#isMeeting && this.readers.length === 0 ? 'unsettled' : 'follower';
	}

	override get readers(): readonly MemberId[] {
		const {pool, self} = this.parts;
		const ids = new Map([...pool.members].filter(({isLeaving}) => !isLeaving).map(({member}) => [member.peerAddress, member.id]));
		return rankByKey(self.address, this.#chosen, address => address).map(address => ids.get(address)).filter(id => id !== undefined);
	}

	/** Takes entries that the directory names. */
	meet(entries: Iterable<KnownEntry>): void {
		for (const {address, zone} of entries) {
			this.#named.set(address, zone);
		}
	}

	override ask(reader: MemberId, question: ListQuestion): void {
		this.parts.pool.send(reader, {kind: 'askList', question});
	}

	override answer(asker: MemberId, passage: ListPassage): void {
		this.parts.pool.send(asker, {kind: 'list', passage});
	}

	dispose(): void {
		this.#store.dispose();
		this.#ask.dispose();
		this.#answer.dispose();
	}

	get #age(): number {
		return this.parts.clock.now() - this.#startedAt;
	}

	get #isMeeting(): boolean {
		return this.#age < meetingMilliseconds;
	}

	get #isSmall(): boolean {
		return this.#isMeeting ? this.#named.size <= smallDirectory : [...this.parts.pool.members].length <= smallFleet;
	}

	/** The addresses of the zone's readers. */
	get #chosen(): readonly string[] {
		const {pool, self} = this.parts;
		const mates = this.#isMeeting
			? [...this.#named].filter(([, zone]) => zone === self.zone).map(([address]) => address)
			: [...pool.members].filter(({member, isLeaving}) => member.zone === self.zone && !isLeaving).map(({member}) => member.peerAddress);
		const all = new Set([self.address, ...mates]);
		return rankByKey(self.zone, [...all], address => address).slice(0, readersOfZone);
	}
}
