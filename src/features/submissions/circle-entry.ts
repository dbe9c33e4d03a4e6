/** How a registrar enters the circle of its zone. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {CircleView} from './circle-view.js';
import type {RegistrarSurroundings} from './registrar-surroundings.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';

const askAgainMilliseconds = 200;
/** A neighbour that isn't in the circle for so long hasn't entered it: it believes that it has a circle of its own. */
const strangerMilliseconds = 2000;

type CircleEntryParts = {
	readonly self: Member;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly surroundings: RegistrarSurroundings;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
	readonly view: CircleView;
	readonly onState: (records: RegistryMessageOf<'state'>['records']) => void;
};

/**
 * Two rounds: first all others must welcome it, which a silent one doesn't, so that the ranks don't change for somebody
 * who can't be told; then each adds it to its ranks and sends all its records in one step, so that no grant falls
 * between. It takes part once it has everyone's records.
 */
export class CircleEntry {
	/** See the `state` message; for a founder, what it's told to begin with. 0 for no limit. */
	vouchFrom = 0;
	#era = 0;
	#phase: 'idle' | 'joining' | 'entering' | 'active' = 'idle';
	#askedAt = Number.NEGATIVE_INFINITY;
	readonly #welcomedBy = new Set<MemberId>();
	readonly #stateFrom = new Set<MemberId>();
	#hasMetActive = false;
	#inheritedVouchFrom = 0;
	#strangerSince: number | undefined;

	constructor(private readonly parts: CircleEntryParts) {}

	get era(): number {
		return this.#era;
	}

	get isActive(): boolean {
		return this.#phase === 'active';
	}

	get hasBegun(): boolean {
		return this.#phase !== 'idle';
	}

	/** True where the registrar entered a circle in which nobody had been active: no records could be inherited. */
	get isFounder(): boolean {
		return this.#phase === 'active' && !this.#hasMetActive;
	}

	/** Enters, or enters again after a pause or a fence. */
	begin(): void {
		this.#era += 1;
		this.#phase = 'joining';
		this.#askedAt = Number.NEGATIVE_INFINITY;
		this.#welcomedBy.clear();
		this.#stateFrom.clear();
		this.tick();
	}

	tick(): void {
		const {clock} = this.parts;
		if (!this.hasBegun) {
			return;
		}

		if (this.isActive) {
			this.#watchStrangers(clock.now());
			return;
		}

		if (clock.now() - this.#askedAt >= askAgainMilliseconds) {
			this.#askedAt = clock.now();
			this.#ask();
		}

		this.#advance();
	}

	receive(from: MemberId, message: RegistryMessageOf<'join'> | RegistryMessageOf<'welcome'> | RegistryMessageOf<'state'>): void {
		if (message.kind === 'join') {
			this.parts.send(from, {kind: 'welcome', era: message.era, isActive: this.isActive});
			return;
		}

		if (message.era !== this.#era) {
			return;
		}

		if (message.kind === 'welcome') {
			this.#welcome(from, message.isActive);
		} else {
			this.#takeState(from, message);
		}

		this.#advance();
	}

	memberLost(id: MemberId): void {
		this.#welcomedBy.delete(id);
		this.#stateFrom.delete(id);
		this.#advance();
	}

	#ask(): void {
		for (const member of this.parts.surroundings.neighbours) {
			if (this.#phase === 'joining' && !this.#welcomedBy.has(member.id)) {
				this.parts.send(member.id, {kind: 'join', era: this.#era});
			} else if (this.#phase === 'entering' && !this.#stateFrom.has(member.id)) {
				this.parts.send(member.id, {kind: 'enter', era: this.#era});
			}
		}
	}

	#takeState(from: MemberId, message: RegistryMessageOf<'state'>): void {
		this.parts.onState(message.records);
		if (!message.isLast) {
			return;
		}

		const member = this.parts.surroundings.memberOf(from);
		if (member === undefined) {
			return;
		}

		this.parts.view.add(member, message.ownEra);
		this.#stateFrom.add(from);
		this.#hasMetActive ||= message.isActive;
		if (message.isActive) {
			this.#inheritedVouchFrom = Math.max(this.#inheritedVouchFrom, message.vouchFrom);
		}
	}

	#welcome(from: MemberId, isOtherActive: boolean): void {
		// Two entries that started without seeing each other on the list would otherwise both decide on the same ids.
		if (this.isActive && isOtherActive && !this.parts.view.has(from)) {
			this.begin();
			return;
		}

		this.#welcomedBy.add(from);
	}

	/** Asks a neighbour that has not entered for a while whether it's active in a circle of its own. */
	#watchStrangers(now: number): void {
		const strangers = this.parts.surroundings.neighbours.filter(({id}) => !this.parts.view.has(id));
		this.#strangerSince = strangers.length > 0 ? this.#strangerSince ?? now : undefined;
		if (this.#strangerSince !== undefined && now - this.#strangerSince > strangerMilliseconds) {
			this.#strangerSince = now;
			for (const {id} of strangers) {
				this.parts.send(id, {kind: 'join', era: this.#era});
			}
		}
	}

	#advance(): void {
		const {surroundings} = this.parts;
		if (this.#phase === 'joining' && !surroundings.hasUnresolved && surroundings.neighbours.every(({id}) => this.#welcomedBy.has(id))) {
			this.#phase = 'entering';
			this.#ask();
		}

		if (this.#phase === 'entering' && surroundings.neighbours.every(({id}) => this.#stateFrom.has(id))) {
			this.#phase = 'active';
			this.vouchFrom = this.#hasMetActive ? this.#inheritedVouchFrom : this.vouchFrom;
			this.parts.journal.record('registrarActive', {era: this.#era, circle: surroundings.neighbours.length + 1});
		}
	}
}
