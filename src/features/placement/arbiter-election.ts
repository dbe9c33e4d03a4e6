/** Election of the arbiter of this entry's zone. */
import {match} from 'ts-pattern';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {MemberLoss} from '../membership/member-loss.js';
import type {Membership} from '../membership/membership.js';
import {Candidacy} from './candidacy.js';
import type {Holder} from './holder.js';
import {SilenceCheck} from './silence-check.js';
import type {RoleTransfer} from './role-transfer.js';
import {ArbiterLease} from './arbiter-lease.js';
import type {ElectionMessage} from './election-message.js';
import {zonePeersOf} from './zone-peers-of.js';

/** Interval at which the owner calls `tick`. */
const tickMilliseconds = 100;
/** An arbiter that was paused for longer than this gives up its role on the next tick. */
const pauseLimitMilliseconds = 1000;

/**
 * Elects one entry per zone as its arbiter, which keeps the role while at least one peer answers it. Another entry
 * takes over when the arbiter is known to be dead, or when neither that entry nor any reachable peer has heard from
 * the arbiter for longer than its lease. If a network partition still produces two arbiters, targets reject requests
 * that exceed their slots, and the higher epoch wins once the two hear of each other.
 */
export class ArbiterElection implements Disposable {
	static readonly tickMilliseconds = tickMilliseconds;

	readonly #lease: ArbiterLease;
	readonly #silenceCheck: SilenceCheck;
	readonly #candidacy: Candidacy;
	#holder: Holder | undefined;
	#tickedAt: number;
	#highestEpoch = 0;
	#hasResigned = false;
	readonly #becameArbiter = new Emitter<RoleTransfer>();
	readonly #changedHolder = new Emitter<Holder | undefined>();
	readonly #lostRole = new Emitter<void>();

	constructor(
		private readonly membership: Membership,
		private readonly clock: Clock,
		private readonly journal: Journal,
		private readonly send: (to: Member, message: ElectionMessage) => void,
	) {
		this.#lease = new ArbiterLease(membership, clock, send);
		this.#silenceCheck = new SilenceCheck(membership, clock, send);
		this.#candidacy = new Candidacy({
			membership, clock, journal, send, silenceCheck: this.#silenceCheck,
		});
		this.#tickedAt = clock.now();
	}

	get holder(): Holder | undefined {
		return this.#holder;
	}

	/** Fires when this entry becomes the arbiter. */
	get onDidBecomeArbiter() {
		return this.#becameArbiter.event;
	}

	/** Fires when this entry is no longer the arbiter. */
	get onDidLoseRole() {
		return this.#lostRole.event;
	}

	/** Fires when the known holder of the role changes. */
	get onDidChangeHolder() {
		return this.#changedHolder.event;
	}

	get isArbiter(): boolean {
		return this.#holder?.member === this.membership.self.id;
	}

	/** Whether this entry may grant slots now. Must be checked before each grant. */
	canGrant(): boolean {
		const isPaused = this.clock.now() - this.#tickedAt > pauseLimitMilliseconds;
		return this.isArbiter && !this.#hasResigned && !isPaused && this.#lease.isValid;
	}

	tick(): void {
		const now = this.clock.now();
		const wasPaused = now - this.#tickedAt > pauseLimitMilliseconds;
		this.#tickedAt = now;
		if (this.isArbiter) {
			this.#tickAsHolder(wasPaused);
			return;
		}

		if (this.#hasResigned || wasPaused) {
			this.#candidacy.resetSilenceTimer();
			return;
		}

		if (this.#candidacy.shouldTakeOver(this.#holder?.member)) {
			this.#becomeArbiter({kind: 'takeover'});
		}
	}

	receive(from: Member, message: ElectionMessage): void {
		match(message)
			.with({kind: 'holds'}, announcement => {
				this.#receiveAnnouncement(from, announcement);
			})
			.with({kind: 'heard'}, ({stamp}) => {
				this.#lease.recordAcknowledgement(stamp);
			})
			.with({kind: 'who'}, ({zone}) => {
				this.#sendHolder(from, zone);
			})
			.with({kind: 'nobody'}, () => undefined)
			.with({kind: 'alive'}, ({about}) => {
				this.#silenceCheck.replyTo(from, about);
			})
			.with({kind: 'aliveReply'}, reply => {
				this.#silenceCheck.recordReply(reply);
			})
			.with({kind: 'handover'}, ({epoch, held}) => {
				this.#highestEpoch = Math.max(this.#highestEpoch, epoch);
				this.#becomeArbiter({kind: 'handover', held});
			})
			.exhaustive();
	}

	memberLost({member}: MemberLoss): void {
		if (member.id !== this.#holder?.member) {
			return;
		}

		this.#setHolder(undefined);
		this.#candidacy.holderLost();
	}

	/**
	 * Permanently resigns the role. Returns the successor, or undefined if this entry isn't the arbiter or no peer
	 * can succeed it.
	 */
	resign(held: Extract<ElectionMessage, {kind: 'handover'}>['held']): Member | undefined {
		this.#hasResigned = true;
		const responsive = zonePeersOf(this.membership).filter(member => !this.membership.isUnresponsive(member.id));
		const [successor] = rankByKey(this.membership.self.zone, responsive, member => member.instance);
		if (!this.isArbiter || successor === undefined) {
			return undefined;
		}

		this.send(successor, {kind: 'handover', epoch: this.#highestEpoch, held});
		return successor;
	}

	dispose(): void {
		this.#becameArbiter.dispose();
		this.#lostRole.dispose();
		this.#changedHolder.dispose();
	}

	#tickAsHolder(wasPaused: boolean): void {
		// Another entry may have taken over during the pause and granted slots that are unknown here.
		if (wasPaused) {
			this.journal.record('tenurePaused', {epoch: this.#holder!.epoch});
			this.#stepDown();
			this.#candidacy.restart();
			return;
		}

		this.#lease.renew(this.#holder!.epoch);
	}

	#receiveAnnouncement(from: Member, announcement: Extract<ElectionMessage, {kind: 'holds'}>): void {
		// Only announcements from other zones need an acknowledgement; within a zone, pings serve as one.
		if (announcement.zone !== this.membership.self.zone) {
			this.send(from, {kind: 'heard', stamp: announcement.stamp});
			return;
		}

		this.#highestEpoch = Math.max(this.#highestEpoch, announcement.epoch);
		const announced: Holder = {member: announcement.holder, epoch: announcement.epoch};
		if (this.#holder !== undefined && this.#holder.member !== announced.member && !supersedes(announced, this.#holder)) {
			return;
		}

		this.#candidacy.resetSilenceTimer();
		this.#silenceCheck.cancel();
		if (this.#holder?.member === announced.member) {
			this.#holder = announced;
			return;
		}

		if (this.isArbiter) {
			this.#stepDown();
		}

		this.#setHolder(announced);
	}

	#sendHolder(to: Member, zone: Member['zone']): void {
		if (this.#holder === undefined || zone !== this.membership.self.zone) {
			this.send(to, {kind: 'nobody', zone});
			return;
		}

		this.send(to, {
			kind: 'holds', zone, holder: this.#holder.member, epoch: this.#holder.epoch, stamp: 0,
		});
	}

	#becomeArbiter(transfer: RoleTransfer): void {
		this.#highestEpoch += 1;
		this.#lease.reset();
		this.#setHolder({member: this.membership.self.id, epoch: this.#highestEpoch});
		this.journal.record('tenureTaken', {epoch: this.#highestEpoch, zone: this.membership.self.zone, manner: transfer.kind});
		this.#becameArbiter.fire(transfer);
		this.#lease.announce(this.#highestEpoch);
	}

	#stepDown(): void {
		this.journal.record('tenureLost', {epoch: this.#holder!.epoch, zone: this.membership.self.zone});
		this.#setHolder(undefined);
		this.#lostRole.fire();
	}

	#setHolder(holder: Holder | undefined): void {
		this.#holder = holder;
		this.#changedHolder.fire(holder);
	}
}

function supersedes(left: Holder, right: Holder): boolean {
	return left.epoch > right.epoch || (left.epoch === right.epoch && left.member > right.member);
}
