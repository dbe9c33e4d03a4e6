/** Keeps the records of submissions in their home zone. */
import {match} from 'ts-pattern';
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import {PrimarySelection} from './primary-selection.js';
import {GroupJoin} from './group-join.js';
import {GroupView} from './group-view.js';
import {ClaimHandler} from './claim-handler.js';
import {BackupReceiver} from './backup-receiver.js';
import {ReplicaRepair} from './replica-repair.js';
import {RecordStore} from './record-store.js';
import type {RegistrarEnvironment} from './registrar-environment.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';
import {Replication} from './replication.js';
import {StateTransfer} from './state-transfer.js';
import {RecordCoverage} from './record-coverage.js';

/** Interval at which the owner calls `tick`. */
const tickMilliseconds = 200;
/**
 * Gap between ticks that indicates a pause. Peers fence a silent registrar only after a longer time, so that a paused
 * registrar notices the pause before it acts on outdated state.
 */
const pauseLimitMilliseconds = 1500;

type RegistrarParts = {
	readonly self: Member;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly environment: RegistrarEnvironment;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
	readonly retentionMilliseconds: number;
	readonly limitBytes: number;
};

/**
 * Primary-backup replication per id. The primary replicates a record to the backup before it grants the claim. A backup
 * may take over from a silent primary, and then rejects that primary's copies, so that it can't grant any more. A primary
 * continues without its backup only once the backup is known to be lost. Thus at most one of them grants at any time,
 * without a quorum.
 */
export class Registrar {
	static readonly tickMilliseconds = tickMilliseconds;

	readonly #view: GroupView;
	readonly #groupJoin: GroupJoin;
	readonly #store: RecordStore;
	readonly #claims: ClaimHandler;
	readonly #replication: Replication;
	readonly #backupReceiver: BackupReceiver;
	readonly #transfer: StateTransfer;
	readonly #replicaRepair: ReplicaRepair;
	#tickedAt: number;

	constructor(private readonly parts: RegistrarParts) {
		const view = new GroupView(parts.self);
		const store = new RecordStore(parts.limitBytes);
		const groupJoin = new GroupJoin({
			...parts, view, onStateReceived: records => {
				this.#backupReceiver.mergeAll(records);
			},
		});
		const canDecide = () => groupJoin.isActive && !this.#transfer.isLeaving;
		const primarySelection = new PrimarySelection(view, {...parts, canDecide});
		const coverage = new RecordCoverage(view, groupJoin, parts.clock, parts.retentionMilliseconds);
		const shared = {
			...parts, view, store, groupJoin, primarySelection, coverage, canDecide,
		};
		const replication = new Replication({
			...shared, onUncertain: (record, uncertainty) => {
				this.#claims.concludeUncertain(record, uncertainty);
			},
		});
		this.#view = view;
		this.#store = store;
		this.#groupJoin = groupJoin;
		this.#replication = replication;
		this.#claims = new ClaimHandler({...shared, replication});
		this.#transfer = new StateTransfer(shared);
		this.#backupReceiver = new BackupReceiver({...shared, replication, transfer: this.#transfer});
		this.#replicaRepair = new ReplicaRepair({...shared, replication});
		this.#tickedAt = parts.clock.now();
	}

	get isActive(): boolean {
		return this.#groupJoin.isActive;
	}

	get records(): number {
		return this.#store.size;
	}

	get bytes(): number {
		return this.#store.bytes;
	}

	get groupMembers(): readonly Member[] {
		return this.#view.members;
	}

	/**
	 * Joins the group. If no active member provides records, ids created before `coverageStart` (milliseconds since the
	 * epoch) may have been granted before.
	 */
	join(coverageStart: number): void {
		this.#groupJoin.coverageStart = coverageStart;
		this.#groupJoin.start();
	}

	/** Whether no active member was there to provide records. */
	get isFirstMember(): boolean {
		return this.#groupJoin.isFirstMember;
	}

	receive(from: MemberId, message: RegistryMessage): void {
		this.#checkPause();
		match(message)
			.with({kind: 'claim'}, claim => {
				this.#claims.claim(from, claim);
			})
			.with({kind: 'settle'}, settlement => {
				this.#claims.settle(from, settlement);
			})
			.with({kind: 'cancel'}, ({id}) => {
				this.#claims.cancel(id);
			})
			.with({kind: 'copy'}, copy => {
				this.#backupReceiver.receive(from, copy);
			})
			.with({kind: 'copied'}, copied => {
				this.#replication.copied(from, copied);
			})
			.with({kind: 'notCopied'}, refusal => {
				this.#handleRejectedCopy(from, refusal);
			})
			.with({kind: 'join'}, {kind: 'welcome'}, {kind: 'state'}, step => {
				this.#groupJoin.receive(from, step);
				this.#replication.retarget();
			})
			.with({kind: 'enter'}, ({era}) => {
				this.#addJoining(from, era);
			})
			.with({kind: 'handover'}, ({sequence, records}) => {
				this.#backupReceiver.mergeAll(records);
				this.parts.send(from, {kind: 'handoverTaken', sequence});
			})
			.with({kind: 'handoverTaken'}, ({sequence}) => {
				this.#transfer.acknowledge(sequence);
			})
			.with({kind: 'leftCircle'}, () => {
				this.#replicaRepair.memberLost(from, true);
			})
			.with({kind: 'restored'}, ({lost}) => {
				this.#view.restore(lost, from);
			})
			// All other messages are for clients.
			.otherwise(() => undefined);
	}

	tick(): void {
		this.#checkPause();
		const now = this.parts.clock.now();
		this.#groupJoin.tick();
		this.#claims.expireRecords(now);
		this.#replication.resend();
		this.#transfer.resend();
	}

	/** Handles the permanent loss of an entry of any zone. */
	memberLost(id: MemberId, wasHandedOver: boolean): void {
		this.#replicaRepair.memberLost(id, wasHandedOver);
		this.#claims.executorLost(id);
	}

	/** Starts the handover of all records to the other members, and stops granting claims. */
	leave(): void {
		this.#transfer.leave();
	}

	get hasHandedOver(): boolean {
		return this.#transfer.hasHandedOver;
	}

	/** Notifies the other members that this registrar has left. */
	announceLeave(): void {
		for (const member of this.#view.members) {
			this.parts.send(member.id, {kind: 'leftCircle'});
		}
	}

	/**
	 * After a pause this registrar may have been fenced or removed. It rejoins the group and receives the current records
	 * before it grants or replicates anything.
	 */
	#checkPause(): void {
		const now = this.parts.clock.now();
		const gap = now - this.#tickedAt;
		this.#tickedAt = now;
		if (gap > pauseLimitMilliseconds && this.#groupJoin.hasStarted) {
			this.parts.journal.record('registrarPaused', {milliseconds: Math.round(gap)});
			this.#groupJoin.start();
		}
	}

	#handleRejectedCopy(from: MemberId, {id, nonce, era, isFenced, existing}: RegistryMessageOf<'notCopied'>): void {
		if (isFenced && era !== this.#groupJoin.era) {
			// Refers to an earlier era; this registrar has rejoined since.
			return;
		}

		if (isFenced) {
			// The backup has taken over, or has removed this registrar from its view.
			this.parts.journal.record('registrarFenced', {by: from});
			this.#groupJoin.start();
			return;
		}

		const claim = existing === undefined ? undefined : this.#replication.withdraw({id, nonce});
		if (existing === undefined || claim === undefined) {
			return;
		}

		// The backup has a record of another claim, which takes precedence.
		this.#store.delete(id);
		this.#backupReceiver.merge(existing);
		this.#claims.answerFromRecord(claim.executor, claim, this.#store.get(id)!);
	}

	/** Adds a joining registrar to the view and sends it all records. */
	#addJoining(from: MemberId, era: number): void {
		const member = this.parts.environment.memberOf(from);
		if (member === undefined) {
			return;
		}

		this.#view.add(member, era);
		this.#transfer.sendAll(from, era);
		this.#replication.retarget();
	}
}
