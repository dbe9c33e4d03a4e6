/** Keeps the records of the submissions whose home is its zone. */
import {match} from 'ts-pattern';
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import {AuthorityRule} from './authority-rule.js';
import {CircleEntry} from './circle-entry.js';
import {CircleView} from './circle-view.js';
import {Claims} from './claims.js';
import {Copies} from './copies.js';
import {CopyRestoration} from './copy-restoration.js';
import {RecordStore} from './record-store.js';
import type {RegistrarSurroundings} from './registrar-surroundings.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';
import {Replication} from './replication.js';
import {StateTransfer} from './state-transfer.js';
import {Vouching} from './vouching.js';

/** The owner calls `tick` this often. */
const tickMilliseconds = 200;
/**
 * A registrar that didn't tick for so long was paused. Others fence a silent one after more than this, so that it finds
 * out before it acts on what it knew.
 */
const pauseLimitMilliseconds = 1500;

type RegistrarParts = {
	readonly self: Member;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly surroundings: RegistrarSurroundings;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
	readonly retentionMilliseconds: number;
	readonly limitBytes: number;
};

/**
 * The owner of an id writes its record to the copy's holder before it grants the claim, and grants an id once. It acts
 * only on messages and ticks. The holder of the copy may take a silent owner's place, and from then on refuses that
 * owner's copies, so that the owner can't grant any more; an owner goes on without its copy's holder only on proof that
 * the holder is gone. So at most one of them can grant at any time, without agreement among more than two.
 */
export class Registrar {
	static readonly tickMilliseconds = tickMilliseconds;

	readonly #view: CircleView;
	readonly #entry: CircleEntry;
	readonly #store: RecordStore;
	readonly #claims: Claims;
	readonly #replication: Replication;
	readonly #copies: Copies;
	readonly #transfer: StateTransfer;
	readonly #restoration: CopyRestoration;
	#tickedAt: number;

	constructor(private readonly parts: RegistrarParts) {
		const view = new CircleView(parts.self);
		const store = new RecordStore(parts.limitBytes);
		const entry = new CircleEntry({
			...parts, view, onState: records => {
				this.#copies.adopt(records);
			},
		});
		const canDecide = () => entry.isActive && !this.#transfer.isLeaving;
		const authority = new AuthorityRule(view, {...parts, canDecide});
		const vouching = new Vouching(view, entry, parts.clock, parts.retentionMilliseconds);
		const shared = {
			...parts, view, store, entry, authority, vouching, canDecide,
		};
		const replication = new Replication({
			...shared, onDoubt: (record, doubt) => {
				this.#claims.doubt(record, doubt);
			},
		});
		this.#view = view;
		this.#store = store;
		this.#entry = entry;
		this.#replication = replication;
		this.#claims = new Claims({...shared, replication});
		this.#transfer = new StateTransfer(shared);
		this.#copies = new Copies({...shared, replication, transfer: this.#transfer});
		this.#restoration = new CopyRestoration({...shared, replication});
		this.#tickedAt = parts.clock.now();
	}

	get isActive(): boolean {
		return this.#entry.isActive;
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
	 * Enters the circle. Should nobody be there to inherit from, nobody can tell what was granted before the given time,
	 * in milliseconds since the epoch.
	 */
	enter(vouchFrom: number): void {
		this.#entry.vouchFrom = vouchFrom;
		this.#entry.begin();
	}

	/** Whether nobody was there to inherit from. */
	get isFounder(): boolean {
		return this.#entry.isFounder;
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
				this.#copies.take(from, copy);
			})
			.with({kind: 'copied'}, copied => {
				this.#replication.copied(from, copied);
			})
			.with({kind: 'notCopied'}, refusal => {
				this.#notCopied(from, refusal);
			})
			.with({kind: 'join'}, {kind: 'welcome'}, {kind: 'state'}, step => {
				this.#entry.receive(from, step);
				this.#replication.reconsider();
			})
			.with({kind: 'enter'}, ({era}) => {
				this.#admit(from, era);
			})
			.with({kind: 'handover'}, ({sequence, records}) => {
				this.#copies.adopt(records);
				this.parts.send(from, {kind: 'handoverTaken', sequence});
			})
			.with({kind: 'handoverTaken'}, ({sequence}) => {
				this.#transfer.taken(sequence);
			})
			.with({kind: 'leftCircle'}, () => {
				this.#restoration.memberLost(from, true);
			})
			.with({kind: 'restored'}, ({lost}) => {
				this.#view.restore(lost, from);
			})
			// The rest is for desks.
			.otherwise(() => undefined);
	}

	tick(): void {
		this.#checkPause();
		const now = this.parts.clock.now();
		this.#entry.tick();
		this.#claims.expire(now);
		this.#replication.resend();
		this.#transfer.resend();
	}

	/** An entry of any zone is gone for good: what it ran is in doubt. */
	memberLost(id: MemberId, wasHandedOver: boolean): void {
		this.#restoration.memberLost(id, wasHandedOver);
		this.#claims.executorLost(id);
	}

	/** Hands all records to the others. Nothing is granted any more. */
	leave(): void {
		this.#transfer.leave();
	}

	get hasHandedOver(): boolean {
		return this.#transfer.hasHandedOver;
	}

	/** Tells the others that they go on without this one. */
	farewell(): void {
		for (const member of this.#view.members) {
			this.parts.send(member.id, {kind: 'leftCircle'});
		}
	}

	/**
	 * An entry that was paused may have been fenced, or taken for dead: it enters the circle again, and learns what was
	 * granted meanwhile, before it grants or copies anything.
	 */
	#checkPause(): void {
		const now = this.parts.clock.now();
		const gap = now - this.#tickedAt;
		this.#tickedAt = now;
		if (gap > pauseLimitMilliseconds && this.#entry.hasBegun) {
			this.parts.journal.record('registrarPaused', {milliseconds: Math.round(gap)});
			this.#entry.begin();
		}
	}

	#notCopied(from: MemberId, {id, nonce, era, isFenced, existing}: RegistryMessageOf<'notCopied'>): void {
		if (isFenced && era !== this.#entry.era) {
			// It's about copies of an earlier era, which this registrar has left behind already.
			return;
		}

		if (isFenced) {
			// The holder of the copy acts in this one's place, or took it for gone.
			this.parts.journal.record('registrarFenced', {by: from});
			this.#entry.begin();
			return;
		}

		const claim = existing === undefined ? undefined : this.#replication.withdraw({id, nonce});
		if (existing === undefined || claim === undefined) {
			return;
		}

		// The other one knows a copy of this submission that this one doesn't: that one stands.
		this.#store.delete(id);
		this.#copies.keep(existing);
		this.#claims.answerKnown(claim.executor, claim, this.#store.get(id)!);
	}

	/** Someone enters: it gets all records, and a place in the ranks from now on. */
	#admit(from: MemberId, era: number): void {
		const member = this.parts.surroundings.memberOf(from);
		if (member === undefined) {
			return;
		}

		this.#view.add(member, era);
		this.#transfer.sendAll(from, era);
		this.#replication.reconsider();
	}
}
