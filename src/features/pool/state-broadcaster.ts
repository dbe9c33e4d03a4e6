/** When this entry tells its state, and to whom. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {NodeState} from './node-state.js';
import {heartbeats} from './heartbeats.js';
import type {Outbox} from './outbox.js';
import {countEligibleTargets} from './count-eligible-targets.js';
import type {PoolMember} from './pool-member.js';

/** A change that all entries have to know waits so long for others of its kind. */
const soonMilliseconds = 20;
/**
 * New room is told within so long, and only while some entry waits for such room; else the heartbeat tells it. In a burst a place
 * that becomes free stands idle for as long: with 20 ms that was a fifth of its time, with tasks of 60 to 200 ms, while the
 * logs of its targets' owners showed two such places for each waiting task.
 */
const newRoomMilliseconds = 5;
/**
 * Room that nobody took is told again, to the next ones: those who were told may have found other room. How soon depends on
 * how many were told and how many entries do the same, so that no entry sends or receives more than some 400 a second; with
 * 20 ms for every fleet the worth of three days was 0.011 lower than with 5 ms for every fleet.
 */
const sameRoomShortest = 5;
const sameRoomLongest = 20;
/** For each entry that was told and each that there is. */
const sameRoomMillisecondsForEach = 0.42;
/**
 * That tasks begin to wait here is told no sooner after the last state than so long for each entry that's told: an entry under
 * load begins and ceases to wait all the time, and a large fleet would be told by all of its entries.
 */
const waitingMillisecondsForEach = 1;
/**
 * A change of room is told to so many of those that wait, by turns, and to no more than twice as many as it has places for:
 * the same room isn't offered to everybody, since all but one would be refused. One that is told may have found room
 * elsewhere meanwhile, hence the double. The messages of an overloaded fleet don't grow with the square of its size.
 */
const toldAtOnce = 7;
const toldForPlace = 2;
/**
 * So often an entry is told of room after it said that tasks wait there, until it says so again. Most tasks have found room long
 * before the next heartbeat of an entry that isn't in use, a second later in a large fleet. At three quarters of the load that
 * takes a third of the frames away, at nine tenths a fifth, and leaves the waits as they are (counted in memory, 39 entries).
 */
const updatesPerDemand = 2;
/** Who was told so lately isn't told again with every message. */
const alongMilliseconds = 50;

/** What a teller works with. */
type StateBroadcasterParts = {
	readonly members: () => Iterable<PoolMember>;
	readonly ownState: () => NodeState;
	readonly outbox: Outbox;
	readonly clock: Clock;
};

/** Sends heartbeats, and changes between them. */
export class StateBroadcaster implements Disposable {
	/** When each entry was told last. */
	readonly #toldAt = new WeakMap<PoolMember, number>();
	#toldCloseAt = Number.NEGATIVE_INFINITY;
	#changeToldAt = Number.NEGATIVE_INFINITY;
	#toldUpTo = 0;
	#sameRoomDue = 0;
	/** How many places the last entries were told of; fewer since they were taken. */
	#placesTold = 0;
	#room: {readonly dueAt: number; readonly timer: Disposable} | undefined;
	#pendingAll: Disposable | undefined;
	#pendingWaiting: Disposable | undefined;

	constructor(private readonly parts: StateBroadcasterParts) {}

	/** Sends the heartbeats that are due within the given time; whoever was told since the last one needs none. */
	sendHeartbeats(leewayMilliseconds: number): void {
		const soon = this.parts.clock.now() + leewayMilliseconds;
		this.#tell([...this.parts.members()].filter(member => {
			const {periodMilliseconds} = member.sendTiming;
			return soon - this.#lastToldAt(member) >= periodMilliseconds;
		}));
	}

	/** Tells one entry now. */
	sendTo(member: PoolMember): void {
		this.#tell([member]);
	}

	/** Lets the state go along with a message that is sent anyway. */
	piggyback(member: PoolMember): void {
		if (this.parts.clock.now() - this.#lastToldAt(member) >= alongMilliseconds) {
			this.#tell([member]);
		}
	}

	/** Tells all entries of a change, soon. */
	broadcast(): void {
		this.#pendingAll ??= this.parts.clock.schedule(soonMilliseconds, () => {
			this.#pendingAll = undefined;
			this.#tell([...this.parts.members()]);
		});
	}

	/** Tells the entries that are close that tasks wait here, soon. */
	announceDemand(): void {
		const {length} = this.#close;
		const due = this.#toldCloseAt + (length * waitingMillisecondsForEach) - this.parts.clock.now();
		this.#pendingWaiting ??= this.parts.clock.schedule(Math.max(0, due), () => {
			this.#pendingWaiting = undefined;
			this.#toldCloseAt = this.parts.clock.now();
			this.#tell(this.#close);
		});
	}

	/** Tells of a change of room, if anybody waits for room. */
	announceCapacity(): void {
		const dueAt = this.#changeToldAt + newRoomMilliseconds;
		if (this.#room !== undefined && this.#room.dueAt <= dueAt) {
			return;
		}

		for (const member of this.parts.members()) {
			if (isWaiting(member)) {
				this.#scheduleRoom(dueAt);
				return;
			}
		}
	}

	dispose(): void {
		this.#room?.timer.dispose();
		this.#pendingAll?.dispose();
		this.#pendingWaiting?.dispose();
	}

	get #close(): readonly PoolMember[] {
		return [...this.parts.members()].filter(({sendTiming}) => sendTiming !== heartbeats.idle);
	}

	#lastToldAt(member: PoolMember): number {
		return this.#toldAt.get(member) ?? Number.NEGATIVE_INFINITY;
	}

	#tell(told: readonly PoolMember[]): void {
		if (told.length === 0) {
			return;
		}

		const {ownState, outbox, clock} = this.parts;
		const state = ownState();
		for (const known of told) {
			this.#toldAt.set(known, clock.now());
			outbox.put(known.member, {kind: 'state', state, isForMonitor: known.isMonitor});
		}
	}

	/** In the place of a later look, if there's one. */
	#scheduleRoom(dueAt: number): void {
		this.#room?.timer.dispose();
		const timer = this.parts.clock.schedule(Math.max(0, dueAt - this.parts.clock.now()), () => {
			this.#room = undefined;
			this.#tellRoomNow();
		});
		this.#room = {dueAt, timer};
	}

	#tellRoomNow(): void {
		const {members, ownState, clock} = this.parts;
		const state = ownState();
		const fleet = [...members()];
		const offers = fleet.filter(member => isWaiting(member)).map(member => ({member, places: countEligibleTargets(member.demand, state.freeCapacity)})).filter(({places}) => places > 0);
		const places = Math.max(0, ...offers.map(offer => offer.places));
		const isNew = places > this.#placesTold;
		this.#placesTold = Math.min(this.#placesTold, places);
		if (places === 0) {
			return;
		}

		if (!isNew && this.#sameRoomDue > clock.now()) {
			this.#scheduleRoom(this.#sameRoomDue);
			return;
		}

		const told = Math.min(toldAtOnce, toldForPlace * places, offers.length);
		const pause = told * fleet.length * sameRoomMillisecondsForEach;
		this.#placesTold = places;
		this.#changeToldAt = clock.now();
		this.#sameRoomDue = clock.now() + Math.min(sameRoomLongest, Math.max(sameRoomShortest, pause));
		this.#tellByTurns(offers.map(({member}) => member), told);
		this.#scheduleRoom(this.#sameRoomDue);
	}

	#tellByTurns(waiting: readonly PoolMember[], count: number): void {
		const told = Array.from({length: count}, (_, turn) => waiting[(this.#toldUpTo + turn + 1) % waiting.length]!);
		this.#toldUpTo += count;
		for (const member of told) {
			member.capacityUpdates += 1;
		}

		this.#tell(told);
	}
}

function isWaiting({demand, capacityUpdates}: PoolMember): boolean {
	return demand.length > 0 && capacityUpdates < updatesPerDemand;
}
