/** The office of the arbiter of this entry's zone. */
import {match} from 'ts-pattern';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Loss} from '../membership/loss.js';
import type {Membership} from '../membership/membership.js';
import type {Holder} from './holder.js';
import type {Succession} from './succession.js';
import type {TenureMessage} from './tenure-message.js';

/** The owner calls `tick` this often. */
const tickMilliseconds = 100;
/** News are told at once; this only repairs a lost message. */
const announceMilliseconds = 5000;
/** How often peers of other zones are asked for a sign of life when none of the own zone gives one. */
const witnessMilliseconds = 400;
/** A holder grants for so long after the sending of a ping, or an announcement, that some peer answered. */
const leaseMilliseconds = 1600;
/** A holder that was paused for so long finds out on its first tick, and gives the office up. */
const pauseLimitMilliseconds = 1000;
/** A holder that nobody heard for so long has certainly stopped granting, whatever it still believes. */
const holderSilenceMilliseconds = 2500;
/** A witness that heard of the holder more recently than this contradicts its silence. */
const witnessedSilenceMilliseconds = 1500;
/** How long witnesses have for their answers. */
const witnessWaitMilliseconds = 500;
/** How often an entry that knows of no holder asks for one. */
const askMilliseconds = 200;
/** How long an entry that knows of no holder asks before it may take the office. */
const askingMilliseconds = 300;

type Send = (to: Member, message: TenureMessage) => void;
type Inquiry = {readonly about: MemberId; readonly startedAt: number; denials: number; confirmations: number};

/**
 * One entry of a zone is its arbiter, for as long as some peer answers it. Another one takes over on
 * proof that it's gone, or when neither it nor any peer that it can reach has heard of the holder for longer than the
 * holder's lease. Should two entries hold the office all the same (a cut that runs between them and leaves each a
 * peer), targets refuse what exceeds their slots, and the later epoch wins when they hear of each other.
 */
export class Tenure implements Disposable {
	static readonly tickMilliseconds = tickMilliseconds;

	#holder: Holder | undefined;
	#heardAt: number;
	#acknowledgedAt = Number.NEGATIVE_INFINITY;
	#announcedAt = Number.NEGATIVE_INFINITY;
	#askedWitnessesAt = Number.NEGATIVE_INFINITY;
	#askedAt = Number.NEGATIVE_INFINITY;
	#tickedAt: number;
	#askingSince: number;
	#highestEpoch = 0;
	#inquiry: Inquiry | undefined;
	#hasResigned = false;
	readonly #gain = new Emitter<Succession>();
	readonly #change = new Emitter<Holder | undefined>();
	readonly #lose = new Emitter<void>();

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly journal: Journal,
		private readonly send: Send,
	) {
		this.#heardAt = clock.now();
		this.#tickedAt = clock.now();
		this.#askingSince = clock.now();
	}

	get holder(): Holder | undefined {
		return this.#holder;
	}

	/** Fires when this entry becomes the arbiter. */
	get onDidGain() {
		return this.#gain.event;
	}

	/** Fires when this entry is the arbiter no longer. */
	get onDidLose() {
		return this.#lose.event;
	}

	/** Fires when another holder is known than before. */
	get onDidChange() {
		return this.#change.event;
	}

	get isHolder(): boolean {
		return this.#holder?.member === this.membership.self.id;
	}

	/** Whether this entry may lend slots right now; asked before each grant, on the monotonic clock. */
	mayGrant(): boolean {
		const now = this.clock.now();
		if (!this.isHolder || this.#hasResigned || now - this.#tickedAt > pauseLimitMilliseconds) {
			return false;
		}

		return !this.#hasRivals() || now - this.#reachedAt() < leaseMilliseconds;
	}

	tick(): void {
		const now = this.clock.now();
		const wasPaused = now - this.#tickedAt > pauseLimitMilliseconds;
		this.#tickedAt = now;
		if (this.isHolder) {
			this.#tickAsHolder(now, wasPaused);
			return;
		}

		if (this.#hasResigned || wasPaused) {
			this.#heardAt = now;
			return;
		}

		this.#seek(now);
	}

	receive(from: Member, message: TenureMessage): void {
		match(message)
			.with({kind: 'holds'}, announcement => {
				this.#hearHolder(from, announcement);
			})
			.with({kind: 'heard'}, ({stamp}) => {
				this.#acknowledgedAt = Math.max(this.#acknowledgedAt, stamp);
			})
			.with({kind: 'who'}, ({zone}) => {
				this.#tellHolder(from, zone);
			})
			.with({kind: 'nobody'}, () => undefined)
			.with({kind: 'alive'}, ({about}) => {
				this.#testify(from, about);
			})
			.with({kind: 'aliveReply'}, reply => {
				this.#takeWitness(reply);
			})
			.with({kind: 'handover'}, ({epoch, held}) => {
				this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
				this.#take({kind: 'handover', held});
			})
			.exhaustive();
	}

	memberLost({member}: Loss): void {
		if (member.id !== this.#holder?.member) {
			return;
		}

		this.#setHolder(undefined);
		this.#askingSince = Number.NEGATIVE_INFINITY;
	}

	/** Gives the office up for good, to the successor that's returned; none where the entry isn't the holder. */
	resign(held: Extract<TenureMessage, {kind: 'handover'}>['held']): Member | undefined {
		this.#hasResigned = true;
		const [successor] = rankByKey(this.membership.self.zone, this.#others().filter(member => !this.membership.isSilent(member.id)), member => member.instance);
		if (!this.isHolder || successor === undefined) {
			return undefined;
		}

		this.send(successor, {kind: 'handover', epoch: this.#highestEpoch, held});
		return successor;
	}

	dispose(): void {
		this.#gain.dispose();
		this.#lose.dispose();
		this.#change.dispose();
	}

	#others(): readonly Member[] {
		const {self} = this.membership;
		return this.membership.inZone(self.zone).filter(member => member.id !== self.id);
	}

	/** Whether the zone has, or may have, another entry that could take the office. */
	#hasRivals(): boolean {
		return this.#others().length > 0 || this.membership.isUnresolved(this.membership.self.zone);
	}

	#tickAsHolder(now: number, wasPaused: boolean): void {
		// A paused holder may have been replaced: it knows nothing of the slots that were lent meanwhile.
		if (wasPaused) {
			this.journal.record('tenurePaused', {epoch: this.#holder!.epoch});
			this.#stepDown();
			this.#heardAt = now;
			this.#askingSince = now;
			return;
		}

		if (now - this.#announcedAt >= announceMilliseconds) {
			this.#announcedAt = now;
			this.#announce(now, this.#others());
		}

		if (this.#hasRivals() && now - this.#reachedAt() > leaseMilliseconds / 2 && now - this.#askedWitnessesAt >= witnessMilliseconds) {
			this.#askedWitnessesAt = now;
			this.#announce(now, this.#witnesses());
		}
	}

	/** When the holder last sent something that a peer answered. */
	#reachedAt(): number {
		const inZone = this.#others().map(member => this.membership.reachedAt(member.id) ?? Number.NEGATIVE_INFINITY);
		return Math.max(this.#acknowledgedAt, ...inZone);
	}

	#announce(now: number, to: readonly Member[]): void {
		const announcement: TenureMessage = {
			kind: 'holds', zone: this.membership.self.zone, holder: this.membership.self.id, epoch: this.#holder!.epoch, stamp: now,
		};
		for (const member of to) {
			this.send(member, announcement);
		}
	}

	/** One entry of each other zone. */
	#witnesses(): readonly Member[] {
		const {self} = this.membership;
		const zones = new Set(this.membership.all.map(member => member.zone));
		zones.delete(self.zone);
		return [...zones].flatMap(zone => rankByKey(self.instance, this.membership.inZone(zone), member => member.instance).slice(0, 1));
	}

	#hearHolder(from: Member, announcement: Extract<TenureMessage, {kind: 'holds'}>): void {
		// Within a zone pings tell who is there; a holder that asks another zone has nobody else to ask.
		if (announcement.zone !== this.membership.self.zone) {
			this.send(from, {kind: 'heard', stamp: announcement.stamp});
			return;
		}

		this.#highestEpoch = Math.max(this.#highestEpoch, announcement.epoch);
		const heard: Holder = {member: announcement.holder, epoch: announcement.epoch};
		if (this.#holder !== undefined && this.#holder.member !== heard.member && !isLater(heard, this.#holder)) {
			return;
		}

		this.#heardAt = this.clock.now();
		this.#inquiry = undefined;
		if (this.#holder?.member === heard.member) {
			this.#holder = heard;
			return;
		}

		if (this.isHolder) {
			this.#stepDown();
		}

		this.#setHolder(heard);
	}

	#tellHolder(to: Member, zone: Member['zone']): void {
		if (this.#holder === undefined || zone !== this.membership.self.zone) {
			this.send(to, {kind: 'nobody', zone});
			return;
		}

		this.send(to, {
			kind: 'holds', zone, holder: this.#holder.member, epoch: this.#holder.epoch, stamp: 0,
		});
	}

	/** Only an entry that was in touch with a member can tell whether it fell silent. */
	#testify(to: Member, about: MemberId): void {
		const heardAgoMilliseconds = about === this.membership.self.id ? 0 : this.membership.heardAgo(about);
		if (heardAgoMilliseconds !== undefined) {
			this.send(to, {kind: 'aliveReply', about, heardAgoMilliseconds});
		}
	}

	#seek(now: number): void {
		if (this.#holder === undefined) {
			this.#seekVacant(now);
			return;
		}

		const heardAgo = this.membership.heardAgo(this.#holder.member) ?? Number.POSITIVE_INFINITY;
		if (Math.min(heardAgo, now - this.#heardAt) > holderSilenceMilliseconds) {
			this.#inquire(now, this.#holder.member);
		}
	}

	/** Whoever knows of no holder asks; only the first in rank may take the office, when nobody told of one. */
	#seekVacant(now: number): void {
		if (now - this.#askedAt >= askMilliseconds) {
			this.#askedAt = now;
			for (const member of this.#others()) {
				this.send(member, {kind: 'who', zone: this.membership.self.zone});
			}
		}

		if (this.membership.isUnresolved(this.membership.self.zone) || !this.#isFirst()) {
			this.#askingSince = Number.isFinite(this.#askingSince) ? now : this.#askingSince;
			return;
		}

		if (now - this.#askingSince >= askingMilliseconds) {
			this.#take({kind: 'takeover'});
		}
	}

	#isFirst(): boolean {
		const {self} = this.membership;
		const awake = this.#others().filter(member => !this.membership.isSilent(member.id));
		return rankByKey(self.zone, [self, ...awake], member => member.instance)[0]?.id === self.id;
	}

	/** Asks all others whether they hear of the holder; their silence proves nothing, one answer is needed. */
	#inquire(now: number, about: MemberId): void {
		if (this.#inquiry === undefined) {
			this.#inquiry = {
				about, startedAt: now, denials: 0, confirmations: 0,
			};
			for (const member of this.membership.all) {
				if (member.id !== about) {
					this.send(member, {kind: 'alive', about});
				}
			}

			return;
		}

		if (now - this.#inquiry.startedAt < witnessWaitMilliseconds) {
			return;
		}

		const {denials, confirmations} = this.#inquiry;
		this.#inquiry = undefined;
		if (confirmations === 0 && denials > 0 && this.#isFirst()) {
			this.journal.record('holderSilent', {holder: about, witnesses: denials});
			this.#take({kind: 'takeover'});
		}
	}

	#takeWitness(reply: Extract<TenureMessage, {kind: 'aliveReply'}>): void {
		if (this.#inquiry?.about !== reply.about) {
			return;
		}

		if (reply.heardAgoMilliseconds < witnessedSilenceMilliseconds) {
			this.#inquiry.confirmations += 1;
		} else {
			this.#inquiry.denials += 1;
		}
	}

	#take(succession: Succession): void {
		const now = this.clock.now();
		this.#highestEpoch += 1;
		this.#acknowledgedAt = Number.NEGATIVE_INFINITY;
		this.#setHolder({member: this.membership.self.id, epoch: this.#highestEpoch});
		this.journal.record('tenureTaken', {epoch: this.#highestEpoch, zone: this.membership.self.zone, manner: succession.kind});
		this.#gain.fire(succession);
		this.#announce(now, this.#others());
	}

	#stepDown(): void {
		this.journal.record('tenureLost', {epoch: this.#holder!.epoch, zone: this.membership.self.zone});
		this.#setHolder(undefined);
		this.#lose.fire();
	}

	#setHolder(holder: Holder | undefined): void {
		this.#holder = holder;
		this.#change.fire(holder);
	}
}

function isLater(left: Holder, right: Holder): boolean {
	return left.epoch > right.epoch || (left.epoch === right.epoch && left.member > right.member);
}
