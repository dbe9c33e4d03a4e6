/** Exchange of the backlog between entries. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {MemberId} from '../../base/member-id.js';
import {backlogLimits} from './backlog-limits.js';
import type {BacklogReport} from './backlog-report.js';
import {limitBacklog} from './limit-backlog.js';
import type {ServiceBacklog} from './service-backlog.js';
import {sumBacklogs} from './sum-backlogs.js';
import type {ZoneBacklog} from './zone-backlog.js';

/** Shortest interval between two reports to a peer while work waits. The waiting time of a short job is of this order. */
const busyIntervalMilliseconds = 200;
/** The same while no known work waits; two reports can be lost before the figures expire. */
const idleIntervalMilliseconds = 900;
/**
 * Both intervals grow with the number of peers that get reports, to about 33 reports of 70 bytes per second. Reports are sent along with
 * heartbeats, so that an interval just above their period of 1 s would double; 40 ms per peer did that with 26 peers.
 */
const millisecondsPerPeer = 30;
/** Just below the period of two heartbeats, so that figures don't expire when one is late. */
const longestIntervalMilliseconds = 1900;
/**
 * Sums of other zones in a report to a peer in this zone, while work waits. They are sent in rotation: unless some connections between
 * zones are cut, that peer hears each zone itself.
 */
const relayedZones = 1;
/** How long own figures and sums are reused: under load many reports are sent and received within a few milliseconds. */
const cacheMilliseconds = 20;

type Peer = {readonly id: MemberId; readonly zone: AvailabilityZone};
/** Figures and the monotonic time at which they were computed. */
type Received = {readonly services: readonly ServiceBacklog[]; readonly at: number};
type ReceivedSum = Received & {readonly isFirstHand: boolean};
type Figures = {readonly own: readonly ServiceBacklog[]; readonly zone: readonly ServiceBacklog[]; readonly isBusy: boolean; readonly computedAt: number};

/** Dependencies of the exchange. */
type BacklogExchangeParts = {
	readonly zone: AvailabilityZone;
	/** The figures of this entry. */
	readonly own: (now: number) => readonly ServiceBacklog[];
	/** Whether an entry's last message is recent enough for its information to count. */
	readonly isFresh: (id: MemberId) => boolean;
};

/**
 * Collects the figures of the peers in this zone, and sums of the other zones. An entry sends the sum of its zone to the peers that it
 * has in other zones, and within its zone passes on the sums that it has received from there: each sum reaches every entry in two
 * hops. All figures expire; an entry or a zone that isn't heard any more is left out.
 */
export class BacklogExchange {
	readonly #entries = new Map<MemberId, Received>();
	readonly #zones = new Map<AvailabilityZone, ReceivedSum>();
	readonly #sentAt = new Map<MemberId, number>();
	#figures: Figures | undefined;
	#rotation = 0;

	constructor(private readonly parts: BacklogExchangeParts) {}

	/** The figures to send to a peer now; undefined if it has got some lately. */
	reportFor({id, zone}: Peer, now: number): BacklogReport | undefined {
		const {own, zone: sum, isBusy} = this.#currentFigures(now);
		const interval = Math.max(isBusy ? busyIntervalMilliseconds : idleIntervalMilliseconds, Math.min(longestIntervalMilliseconds, this.#sentAt.size * millisecondsPerPeer));
		const sentAt = this.#sentAt.get(id) ?? Number.NEGATIVE_INFINITY;
		// Of two states that are sent at the same time, only the second one reaches the peer.
		if (now > sentAt && now - sentAt < interval) {
			return undefined;
		}

		this.#sentAt.delete(id);
		this.#sentAt.set(id, now);
		this.#evictSendTimes(now);
		return zone === this.parts.zone
			? {own: limitBacklog(own), zones: isBusy ? this.#relayed(now) : []}
			: {own: undefined, zones: [{zone: this.parts.zone, ageMilliseconds: 0, services: limitBacklog(sum)}]};
	}

	/** Records a report that a peer sent at `at`. */
	receive({id, zone}: Peer, {own, zones}: BacklogReport, at: number): void {
		if (own !== undefined && zone === this.parts.zone && at >= (this.#entries.get(id)?.at ?? Number.NEGATIVE_INFINITY)) {
			this.#entries.set(id, {services: own, at});
		}

		for (const {zone: summed, ageMilliseconds, services} of zones) {
			this.#receiveSum(summed, {services, at: at - ageMilliseconds, isFirstHand: zone === summed});
		}
	}

	/** Discards the figures of a peer that was lost. */
	forget(id: MemberId): void {
		this.#entries.delete(id);
		this.#sentAt.delete(id);
		this.#figures = undefined;
	}

	/** Discards everything, after a pause of which it isn't known how long it took. */
	clear(): void {
		this.#entries.clear();
		this.#zones.clear();
		this.#figures = undefined;
	}

	/** The current figures by zone; this entry's zone, whose sum includes its own figures, comes first. */
	view(now: number): readonly ZoneBacklog[] {
		return [{zone: this.parts.zone, ageMilliseconds: 0, services: this.#currentFigures(now).zone}, ...this.#otherZones(now)];
	}

	#receiveSum(zone: AvailabilityZone, sum: ReceivedSum): void {
		if (zone === this.parts.zone || sum.at < (this.#zones.get(zone)?.at ?? Number.NEGATIVE_INFINITY)) {
			return;
		}

		// The map is in the order of arrival, so that the first zone is the one that wasn't heard for the longest time.
		this.#zones.delete(zone);
		this.#zones.set(zone, sum);
		const [oldest] = this.#zones.keys();
		if (this.#zones.size >= backlogLimits.zones) {
			this.#zones.delete(oldest!);
		}
	}

	#currentFigures(now: number): Figures {
		if (this.#figures !== undefined && now - this.#figures.computedAt < cacheMilliseconds) {
			return this.#figures;
		}

		const own = this.parts.own(now);
		const current = [own];
		for (const [id, {services, at}] of this.#entries) {
			if (!isCurrent(at, now)) {
				this.#entries.delete(id);
			} else if (this.parts.isFresh(id)) {
				current.push(services);
			}
		}

		const zone = sumBacklogs(current);
		const isBusy = hasWaitingWork(zone) || this.#otherZones(now).some(({services}) => hasWaitingWork(services));
		this.#figures = {
			own, zone, isBusy, computedAt: now,
		};
		return this.#figures;
	}

	#otherZones(now: number): readonly ZoneBacklog[] {
		return [...this.#zones].filter(([, {at}]) => isCurrent(at, now))
			.map(([zone, {services, at}]) => ({zone, ageMilliseconds: now - at, services}));
	}

	/** Only sums that came from their zone: figures that were passed on twice would be too old. */
	#relayed(now: number): readonly ZoneBacklog[] {
		const candidates = [...this.#zones].filter(([, {at, isFirstHand}]) => isFirstHand && isCurrent(at, now));
		this.#rotation += 1;
		return candidates.slice(0, relayedZones)
			.map((_, index) => candidates[(this.#rotation + index) % candidates.length]!)
			.map(([zone, {services, at}]) => ({zone, ageMilliseconds: Math.round(now - at), services}));
	}

	/** The map is in the order of the times. */
	#evictSendTimes(now: number): void {
		for (const [id, sentAt] of this.#sentAt) {
			if (now - sentAt <= backlogLimits.ageMilliseconds) {
				return;
			}

			this.#sentAt.delete(id);
		}
	}
}

function hasWaitingWork(services: readonly ServiceBacklog[]): boolean {
	return services.some(({queues}) => queues.length > 0);
}

function isCurrent(at: number, now: number): boolean {
	return now - at <= backlogLimits.ageMilliseconds;
}
