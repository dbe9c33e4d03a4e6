/** Protocol by which a registrar joins the group of its zone. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {GroupView} from './group-view.js';
import type {RegistrarEnvironment} from './registrar-environment.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';

const resendMilliseconds = 200;
/** A peer outside the group for this long may be active in a separate group. */
const unjoinedPeerMilliseconds = 2000;

type GroupJoinParts = {
	readonly self: Member;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly environment: RegistrarEnvironment;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
	readonly view: GroupView;
	readonly onStateReceived: (records: RegistryMessageOf<'state'>['records']) => void;
};

/**
 * Joins in two rounds. First all peers must welcome the registrar, so that the ranking doesn't change while a peer is
 * unreachable. Then each peer atomically adds it to its view and sends all its records, so that no grant is missed. The
 * registrar becomes active once it has the records of all peers.
 */
export class GroupJoin {
	/**
	 * Records are complete for ids created after this time (milliseconds since the epoch); 0 for no limit. Inherited from
	 * active peers, if there are any.
	 */
	coverageStart = 0;
	#era = 0;
	#phase: 'idle' | 'joining' | 'entering' | 'active' = 'idle';
	#requestedAt = Number.NEGATIVE_INFINITY;
	readonly #welcomedBy = new Set<MemberId>();
	readonly #stateReceivedFrom = new Set<MemberId>();
	#hasActivePeer = false;
	#inheritedCoverageStart = 0;
	#unjoinedSince: number | undefined;

	constructor(private readonly parts: GroupJoinParts) {}

	get era(): number {
		return this.#era;
	}

	get isActive(): boolean {
		return this.#phase === 'active';
	}

	get hasStarted(): boolean {
		return this.#phase !== 'idle';
	}

	/** True if the registrar joined a group without active members, so that it received no records. */
	get isFirstMember(): boolean {
		return this.#phase === 'active' && !this.#hasActivePeer;
	}

	/** Joins the group, or rejoins it after a pause or after being fenced. */
	start(): void {
		this.#era += 1;
		this.#phase = 'joining';
		this.#requestedAt = Number.NEGATIVE_INFINITY;
		this.#welcomedBy.clear();
		this.#stateReceivedFrom.clear();
		this.tick();
	}

	tick(): void {
		const {clock} = this.parts;
		if (!this.hasStarted) {
			return;
		}

		if (this.isActive) {
			this.#checkUnjoinedPeers(clock.now());
			return;
		}

		if (clock.now() - this.#requestedAt >= resendMilliseconds) {
			this.#requestedAt = clock.now();
			this.#sendRequests();
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
			this.#receiveWelcome(from, message.isActive);
		} else {
			this.#receiveState(from, message);
		}

		this.#advance();
	}

	memberLost(id: MemberId): void {
		this.#welcomedBy.delete(id);
		this.#stateReceivedFrom.delete(id);
		this.#advance();
	}

	#sendRequests(): void {
		for (const member of this.parts.environment.peers) {
			if (this.#phase === 'joining' && !this.#welcomedBy.has(member.id)) {
				this.parts.send(member.id, {kind: 'join', era: this.#era});
			} else if (this.#phase === 'entering' && !this.#stateReceivedFrom.has(member.id)) {
				this.parts.send(member.id, {kind: 'enter', era: this.#era});
			}
		}
	}

	#receiveState(from: MemberId, message: RegistryMessageOf<'state'>): void {
		this.parts.onStateReceived(message.records);
		if (!message.isLast) {
			return;
		}

		const member = this.parts.environment.memberOf(from);
		if (member === undefined) {
			return;
		}

		this.parts.view.add(member, message.ownEra);
		this.#stateReceivedFrom.add(from);
		this.#hasActivePeer ||= message.isActive;
		if (message.isActive) {
			this.#inheritedCoverageStart = Math.max(this.#inheritedCoverageStart, message.vouchFrom);
		}
	}

	#receiveWelcome(from: MemberId, isOtherActive: boolean): void {
		// Entries that started without seeing each other on the instance list would otherwise both grant the same ids.
		if (this.isActive && isOtherActive && !this.parts.view.has(from)) {
			this.start();
			return;
		}

		this.#welcomedBy.add(from);
	}

	/** Asks peers that haven't joined for a while whether they are active in a separate group. */
	#checkUnjoinedPeers(now: number): void {
		const unjoined = this.parts.environment.peers.filter(({id}) => !this.parts.view.has(id));
		this.#unjoinedSince = unjoined.length > 0 ? this.#unjoinedSince ?? now : undefined;
		if (this.#unjoinedSince !== undefined && now - this.#unjoinedSince > unjoinedPeerMilliseconds) {
			this.#unjoinedSince = now;
			for (const {id} of unjoined) {
				this.parts.send(id, {kind: 'join', era: this.#era});
			}
		}
	}

	#advance(): void {
		const {environment} = this.parts;
		if (this.#phase === 'joining' && !environment.hasUnresolvedPeers && environment.peers.every(({id}) => this.#welcomedBy.has(id))) {
			this.#phase = 'entering';
			this.#sendRequests();
		}

		if (this.#phase === 'entering' && environment.peers.every(({id}) => this.#stateReceivedFrom.has(id))) {
			this.#phase = 'active';
			this.coverageStart = this.#hasActivePeer ? this.#inheritedCoverageStart : this.coverageStart;
			this.parts.journal.record('registrarActive', {era: this.#era, circle: environment.peers.length + 1});
		}
	}
}
