/** Decides when this entry sends its state, and to which peers. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import type {BacklogReport} from '../backlog/backlog-report.js';
import type {Member} from '../../runtime/peers/member.js';
import {AnnouncedDemand} from './announced-demand.js';
import type {EntryState} from './entry-state.js';
import {heartbeats} from './heartbeats.js';
import type {Mesh} from './mesh.js';
import type {Outbox} from './outbox.js';
import {countEligibleTargets} from './count-eligible-targets.js';
import type {PoolMember} from './pool-member.js';

/** Delay before a change is broadcast, so that changes in quick succession are sent together. */
const broadcastDelayMilliseconds = 20;
/**
 * Shortest interval between two announcements of new capacity. A slot stays idle until it has been announced: with 20 ms, that was a fifth
 * of its time in bursts of tasks of 60 to 200 ms.
 */
const announcementIntervalMilliseconds = 5;
/**
 * Bounds on the interval after which unused capacity is announced again, to the next waiting peers. Between them it is
 * proportional to the number of receivers and to the fleet's size, which limits the messages that each entry sends and receives to
 * about 400 a second.
 */
const shortestRepeatMilliseconds = 5;
const longestRepeatMilliseconds = 20;
/** Part of that interval for each pair of a receiver and a peer. */
const repeatMillisecondsPerPair = 0.42;
/**
 * Shortest interval between two announcements of demand, per receiver: under load, demand starts and ends all the time, and an entry of a
 * large fleet would receive announcements from all others.
 */
const demandMillisecondsPerReceiver = 1;
/**
 * Limits on the receivers of one capacity announcement, in total and for each eligible target. Waiting peers are served in
 * rotation, since all but one would be refused if the same capacity were offered to all. Two peers for each target allow for
 * one that has found capacity elsewhere.
 */
const receiversPerAnnouncement = 7;
const receiversPerTarget = 2;
/**
 * How many capacity announcements a peer gets after it has published its demand, until it publishes its state again. By then most
 * of its tasks have been placed.
 */
const announcementsPerDemand = 2;
/** A peer that has received the state within this time doesn't get it along with other messages. */
const piggybackMilliseconds = 50;

/** Dependencies of a state broadcaster. */
type StateBroadcasterParts = {
	readonly members: () => Iterable<PoolMember>;
	readonly ownState: () => EntryState;
	readonly mesh: () => Mesh;
	/** An upper bound of the free CPU of each target in the state, in thousandths of a core. */
	readonly largestFreeCpuMillis: () => number;
	/** The backlog to send to a peer along with a state; undefined if none is due. */
	readonly backlogFor?: ((member: Member) => BacklogReport | undefined) | undefined;
	readonly outbox: Outbox;
	readonly clock: Clock;
};

/** Sends heartbeats, and state changes between them. */
export class StateBroadcaster implements Disposable {
	/** When the state was last sent to each peer. */
	readonly #sentAt = new WeakMap<PoolMember, number>();
	readonly #announcedDemand = new AnnouncedDemand();
	#demandAnnouncedAt = Number.NEGATIVE_INFINITY;
	#capacityAnnouncedAt = Number.NEGATIVE_INFINITY;
	#rotation = 0;
	#repeatDueAt = 0;
	/** How many eligible targets were last announced, at most the number that is left of them. */
	#announcedTargets = 0;
	#pendingCapacity: {readonly dueAt: number; readonly timer: Disposable} | undefined;
	#pendingBroadcast: Disposable | undefined;
	#pendingDemand: Disposable | undefined;

	constructor(private readonly parts: StateBroadcasterParts) {}

	/** Sends the heartbeats that are due within the given time. Any state that was sent counts as a heartbeat. */
	sendHeartbeats(toleranceMilliseconds: number): void {
		const deadline = this.parts.clock.now() + toleranceMilliseconds;
		this.#send([...this.parts.members()].filter(member => {
			const {periodMilliseconds} = member.sendTiming;
			return deadline - this.#lastSentAt(member) >= periodMilliseconds;
		}));
	}

	/** Sends the state to one peer now. */
	sendTo(member: PoolMember): void {
		this.#send([member]);
	}

	/** Sends the state along with another message, unless the peer has a recent one. */
	piggyback(member: PoolMember): void {
		if (this.parts.clock.now() - this.#lastSentAt(member) >= piggybackMilliseconds) {
			this.#send([member]);
		}
	}

	/** Sends a changed state to all peers after a short delay. */
	broadcast(): void {
		this.#pendingBroadcast ??= this.parts.clock.schedule(broadcastDelayMilliseconds, () => {
			this.#pendingBroadcast = undefined;
			this.#send([...this.parts.members()]);
		});
	}

	/** Records that a peer has sent its state. */
	recordReceived(member: PoolMember): void {
		this.#announcedDemand.recordReceived(member);
	}

	/** Announces to active and monitored peers that tasks wait here, unless they know it from the latest state. */
	announceDemand(): void {
		const {length} = this.#nonIdle;
		const due = this.#demandAnnouncedAt + (length * demandMillisecondsPerReceiver) - this.parts.clock.now();
		this.#pendingDemand ??= this.parts.clock.schedule(Math.max(0, due), () => {
			this.#pendingDemand = undefined;
			this.#demandAnnouncedAt = this.parts.clock.now();
			const state = this.parts.ownState();
			this.#sendState(this.#nonIdle.filter(member => !this.#announcedDemand.isKnownTo(member, state.demand)), state);
		});
	}

	/** Announces changed capacity if any peer waits for it. */
	announceCapacity(): void {
		const dueAt = this.#capacityAnnouncedAt + announcementIntervalMilliseconds;
		if (this.#pendingCapacity !== undefined && this.#pendingCapacity.dueAt <= dueAt) {
			return;
		}

		for (const member of this.parts.members()) {
			if (isWaiting(member)) {
				this.#scheduleCapacity(dueAt);
				return;
			}
		}
	}

	dispose(): void {
		this.#pendingCapacity?.timer.dispose();
		this.#pendingBroadcast?.dispose();
		this.#pendingDemand?.dispose();
	}

	get #nonIdle(): readonly PoolMember[] {
		return [...this.parts.members()].filter(({sendTiming}) => sendTiming !== heartbeats.idle);
	}

	#lastSentAt(member: PoolMember): number {
		return this.#sentAt.get(member) ?? Number.NEGATIVE_INFINITY;
	}

	#send(receivers: readonly PoolMember[]): void {
		if (receivers.length === 0) {
			return;
		}

		this.#sendState(receivers, this.parts.ownState());
	}

	#sendState(receivers: readonly PoolMember[], state: EntryState): void {
		const {mesh, backlogFor, outbox, clock} = this.parts;
		for (const known of receivers) {
			this.#sentAt.set(known, clock.now());
			this.#announcedDemand.recordSent(known, state.demand);
			outbox.put(known.member, {
				kind: 'state', state, isForMonitor: known.isMonitor, mesh: mesh(), backlog: backlogFor?.(known.member),
			});
		}
	}

	/** Replaces the pending announcement. */
	#scheduleCapacity(dueAt: number): void {
		this.#pendingCapacity?.timer.dispose();
		const timer = this.parts.clock.schedule(Math.max(0, dueAt - this.parts.clock.now()), () => {
			this.#pendingCapacity = undefined;
			this.#announceCapacityNow();
		});
		this.#pendingCapacity = {dueAt, timer};
	}

	#announceCapacityNow(): void {
		const {members, ownState, clock} = this.parts;
		const peers = [...members()];
		const largestCpuMillis = this.parts.largestFreeCpuMillis();
		const waiting = peers.filter(member => isWaiting(member) && leastCpuMillisOf(member) <= largestCpuMillis);
		// The state takes long to compute, and most announcements under load find no capacity, or no peer that waits for it.
		const state = waiting.length === 0 ? undefined : ownState();
		const candidates: PoolMember[] = [];
		let targets = 0;
		for (const member of waiting) {
			const eligible = countEligibleTargets(member.demand, state!.freeCapacity);
			targets = Math.max(targets, eligible);
			if (eligible > 0) {
				candidates.push(member);
			}
		}

		const isNew = targets > this.#announcedTargets;
		this.#announcedTargets = Math.min(this.#announcedTargets, targets);
		if (state === undefined || targets === 0) {
			return;
		}

		if (!isNew && this.#repeatDueAt > clock.now()) {
			this.#scheduleCapacity(this.#repeatDueAt);
			return;
		}

		const receivers = Math.min(receiversPerAnnouncement, receiversPerTarget * targets, candidates.length);
		const interval = receivers * peers.length * repeatMillisecondsPerPair;
		this.#announcedTargets = targets;
		this.#capacityAnnouncedAt = clock.now();
		this.#repeatDueAt = clock.now() + Math.min(longestRepeatMilliseconds, Math.max(shortestRepeatMilliseconds, interval));
		this.#sendInRotation(candidates, receivers, state);
		this.#scheduleCapacity(this.#repeatDueAt);
	}

	#sendInRotation(waiting: readonly PoolMember[], count: number, state: EntryState): void {
		const receivers = Array.from({length: count}, (_, index) => waiting[(this.#rotation + index + 1) % waiting.length]!);
		this.#rotation += count;
		for (const member of receivers) {
			member.capacityUpdates += 1;
		}

		this.#sendState(receivers, state);
	}
}

function leastCpuMillisOf({demand}: PoolMember): number {
	let least = Number.POSITIVE_INFINITY;
	for (const {need} of demand) {
		least = Math.min(least, need.cpuMillis);
	}

	return least;
}

function isWaiting({demand, capacityUpdates}: PoolMember): boolean {
	return demand.length > 0 && capacityUpdates < announcementsPerDemand;
}
