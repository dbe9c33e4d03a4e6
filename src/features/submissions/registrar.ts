/** Keeps the records of the submissions whose home is its zone. */
import {match} from 'ts-pattern';
import type {Clock} from '../../base/clock.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import {AuthorityRule} from './authority-rule.js';
import {CircleEntry} from './circle-entry.js';
import {CircleView} from './circle-view.js';
import {Handover} from './handover.js';
import {RecordStore} from './record-store.js';
import type {RegistrarSurroundings} from './registrar-surroundings.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';
import type {SubmissionRecord} from './submission-record.js';
import {Vouching} from './vouching.js';

/** The owner calls `tick` this often. */
const tickMilliseconds = 200;
/**
 * A registrar that didn't tick for so long was paused. Others fence a silent one after more than this, so that it finds
 * out before it acts on what it knew.
 */
const pauseLimitMilliseconds = 1500;
const resendMilliseconds = 200;
/** Beyond the deadline of a running submission, after which its executor is given up. */
const graceMilliseconds = 5000;
const recordsPerBatch = 200;

type Waiter = {readonly member: MemberId; readonly nonce: string};
/** A copy under way, and whom to tell when it has arrived. */
type Pending = {readonly record: SubmissionRecord; readonly version: number; sentTo: MemberId | undefined; sentAt: number; readonly done: () => void};

/** What a registrar works with. */
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
	readonly #pending = new Map<string, Pending>();
	readonly #handover: Handover;
	readonly #authority: AuthorityRule;
	readonly #vouching: Vouching;
	readonly #waiters = new Map<SubmissionId, Waiter[]>();
	#tickedAt: number;
	#isLeaving = false;

	constructor(private readonly parts: RegistrarParts) {
		this.#view = new CircleView(parts.self);
		this.#store = new RecordStore(parts.limitBytes);
		this.#entry = new CircleEntry({
			...parts, view: this.#view, onState: records => {
				this.#adopt(records);
			},
		});
		this.#handover = new Handover(parts.send);
		this.#authority = new AuthorityRule(this.#view, {...parts, canDecide: () => this.#canDecide});
		this.#vouching = new Vouching(this.#view, this.#entry, parts.clock, parts.retentionMilliseconds);
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

	get circle(): readonly Member[] {
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
				this.#claim(from, claim);
			})
			.with({kind: 'settle'}, settlement => {
				this.#settle(from, settlement);
			})
			.with({kind: 'cancel'}, ({id}) => {
				this.#cancel(id);
			})
			.with({kind: 'copy'}, copy => {
				this.#takeCopy(from, copy);
			})
			.with({kind: 'copied'}, copied => {
				this.#copied(from, copied);
			})
			.with({kind: 'notCopied'}, refusal => {
				this.#notCopied(from, refusal);
			})
			.with({kind: 'join'}, {kind: 'welcome'}, {kind: 'state'}, step => {
				this.#entry.receive(from, step);
				this.#reconsider();
			})
			.with({kind: 'enter'}, ({era}) => {
				this.#admit(from, era);
			})
			.with({kind: 'handover'}, ({sequence, records}) => {
				this.#adopt(records);
				this.parts.send(from, {kind: 'handoverTaken', sequence});
			})
			.with({kind: 'handoverTaken'}, ({sequence}) => {
				this.#handover.taken(sequence);
			})
			.with({kind: 'leftCircle'}, () => {
				this.#lost(from, true);
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
		for (const record of this.#store.expire(now)) {
			this.#giveUp(record, 'its executor did not settle it in time');
		}

		this.#resend();
	}

	/** An entry of any zone is gone for good: what it ran is in doubt. */
	memberLost(id: MemberId, wasHandedOver: boolean): void {
		this.#lost(id, wasHandedOver);
		for (const record of this.#store.all()) {
			if (record.executor === id && record.verdict === undefined) {
				this.#giveUp(record, 'the entry that ran it is gone');
			}
		}
	}

	/** Hands all records to the others; returns whether they have them. Nothing is granted any more. */
	leave(): void {
		if (this.#isLeaving) {
			return;
		}

		this.#isLeaving = true;
		this.#handOver();
	}

	get hasHandedOver(): boolean {
		return this.#isLeaving && this.#handover.isDone;
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

	#claim(from: MemberId, claim: RegistryMessageOf<'claim'>): void {
		const {id, nonce} = claim;
		const record = this.#store.get(id);
		const authority = this.#authority.authorityOf(id);
		if (authority.kind === 'other' || !this.#canDecide) {
			const to = authority.kind === 'other' ? authority.member.id : undefined;
			this.parts.send(from, {
				kind: 'redirect', id, nonce, to,
			});
			return;
		}

		if (record !== undefined) {
			this.#claimKnown(from, claim, record);
			return;
		}

		const refusal = this.#refusalOf(id);
		if (refusal === undefined) {
			this.#grant(from, claim);
		} else {
			this.parts.send(from, {
				kind: 'concluded', id, nonce, verdict: refusal,
			});
		}
	}

	get #canDecide(): boolean {
		return this.#entry.isActive && !this.#isLeaving;
	}

	#claimKnown(from: MemberId, {id, nonce, fingerprint}: RegistryMessageOf<'claim'>, record: SubmissionRecord): void {
		if (record.fingerprint !== fingerprint) {
			const verdict = {kind: 'notRun', cause: 'conflictingReuse', detail: 'the id was used before with another profile or other tasks'} as const;
			this.parts.send(from, {
				kind: 'concluded', id, nonce, verdict,
			});
		} else if (record.verdict !== undefined) {
			this.parts.send(from, {
				kind: 'concluded', id, nonce, verdict: record.verdict,
			});
		} else if (record.nonce === nonce && record.executor === from) {
			this.#claimAgain(record);
		} else {
			this.#addWaiter(id, {member: from, nonce});
			this.parts.send(from, {kind: 'waiting', id, nonce});
		}
	}

	/** The reply was lost, or the copy never arrived: the same claim gets the same grant, but none without a copy. */
	#claimAgain(record: SubmissionRecord): void {
		if (record.isGranted) {
			this.parts.send(record.executor, {kind: 'granted', id: record.id, nonce: record.nonce});
		} else if (!this.#pending.has(keyOf(record, 0))) {
			this.#replicateGrant(record);
		}
	}

	#addWaiter(id: SubmissionId, waiter: Waiter): void {
		const waiters = this.#waiters.get(id) ?? [];
		if (!waiters.some(({nonce}) => nonce === waiter.nonce)) {
			this.#waiters.set(id, [...waiters, waiter]);
		}
	}

	/** Why an id without a record isn't granted: nobody can tell that it was never granted, or there's no room. */
	#refusalOf(id: SubmissionId): Verdict<JobAnswer> | undefined {
		const doubt = this.#vouching.doubtOf(id);
		if (doubt !== undefined || this.#store.hasRoom) {
			return doubt;
		}

		return {
			kind: 'notRun', cause: 'registryUnavailable', detail: 'there is no room for another record', retryAfterMilliseconds: 5000,
		};
	}

	#grant(from: MemberId, {id, nonce, fingerprint, remainingMilliseconds}: RegistryMessageOf<'claim'>): void {
		const expiresAt = this.parts.clock.now() + remainingMilliseconds + graceMilliseconds;
		this.#replicateGrant(this.#store.put({
			id, fingerprint, executor: from, nonce, isGranted: false, verdict: undefined, expiresAt,
		}));
	}

	#replicateGrant(record: SubmissionRecord): void {
		this.#replicate(record, 0, () => {
			record.isGranted = true;
			this.parts.send(record.executor, {kind: 'granted', id: record.id, nonce: record.nonce});
		});
	}

	#settle(from: MemberId, {id, nonce, fingerprint, verdict}: RegistryMessageOf<'settle'>): void {
		const authority = this.#authority.authorityOf(id);
		if (authority.kind === 'other' || !this.#canDecide) {
			this.parts.send(from, {
				kind: 'redirect', id, nonce, to: authority.kind === 'other' ? authority.member.id : undefined,
			});
			return;
		}

		const known = this.#store.get(id);
		// A record of another claim, or one that was given up already, isn't changed by what comes late.
		if (known !== undefined && (known.nonce !== nonce || (known.verdict !== undefined && known.verdict.kind !== 'mayHaveRun'))) {
			this.parts.send(from, {kind: 'settled', id, nonce});
			return;
		}

		const expiresAt = this.parts.clock.now() + this.parts.retentionMilliseconds;
		const record = this.#store.put({
			id, fingerprint, executor: from, nonce, isGranted: true, verdict, expiresAt,
		});
		const version = verdict.kind === 'notRun' ? 2 : 1;
		this.#conclude(id, verdict);
		this.#replicate(record, version, () => {
			this.parts.send(from, {kind: 'settled', id, nonce});
		});
		if (version === 2) {
			this.#store.delete(id);
		}
	}

	#cancel(id: SubmissionId): void {
		const record = this.#store.get(id);
		if (record !== undefined && record.verdict === undefined) {
			this.parts.send(record.executor, {kind: 'cancelRequested', id});
		}
	}

	#giveUp(record: SubmissionRecord, detail: string): void {
		this.parts.journal.record('submissionGivenUp', {submission: record.id, executor: record.executor, detail});
		this.#settleRecord(record, {kind: 'mayHaveRun', cause: 'executorLost', detail});
	}

	#settleRecord(record: SubmissionRecord, verdict: Verdict<JobAnswer>): void {
		this.#store.put({...record, verdict, expiresAt: this.parts.clock.now() + this.parts.retentionMilliseconds});
		this.#conclude(record.id, verdict);
	}

	#conclude(id: SubmissionId, verdict: Verdict<JobAnswer>): void {
		for (const {member, nonce} of this.#waiters.get(id) ?? []) {
			this.parts.send(member, {
				kind: 'concluded', id, nonce, verdict,
			});
		}

		this.#waiters.delete(id);
	}

	/** Writes a record to the copy's holder, and calls back once it has it; at once where there's none. */
	#replicate(record: SubmissionRecord, version: number, done: () => void): void {
		const pending: Pending = {
			record, version, sentTo: undefined, sentAt: Number.NEGATIVE_INFINITY, done,
		};
		this.#pending.set(keyOf(record, version), pending);
		this.#sendCopy(pending);
	}

	#sendCopy(pending: Pending): void {
		const {record, version} = pending;
		const authority = this.#authority.authorityOf(record.id);
		if (authority.kind === 'other' || !this.#canDecide) {
			this.#abandon(pending);
			return;
		}

		// Since the claim came, the copy's holder may have been lost, which may have granted the id itself.
		const doubt = version === 0 && !record.isGranted ? this.#vouching.doubtOf(record.id) : undefined;
		if (doubt !== undefined) {
			this.#pending.delete(keyOf(record, version));
			this.#addWaiter(record.id, {member: record.executor, nonce: record.nonce});
			this.#settleRecord(record, doubt);
			return;
		}

		if (authority.backup === undefined) {
			this.#finish(pending);
			return;
		}

		pending.sentTo = authority.backup.id;
		pending.sentAt = this.parts.clock.now();
		this.parts.send(authority.backup.id, {
			kind: 'copy', era: this.#entry.era, record: this.#wireOf(record, version), fenced: [...this.#view.fenced],
		});
	}

	#finish(pending: Pending): void {
		this.#pending.delete(keyOf(pending.record, pending.version));
		pending.done();
	}

	/**
	 * Another registrar decides on the id now. A claim that wasn't granted yet isn't, here; the record stays, since the
	 * other one may have got a copy of it and grant that.
	 */
	#abandon({record, version}: Pending): void {
		this.#pending.delete(keyOf(record, version));
		if (version === 0) {
			this.parts.send(record.executor, {kind: 'redirect', id: record.id, nonce: record.nonce});
		}
	}

	#resend(): void {
		const now = this.parts.clock.now();
		for (const pending of this.#pending.values()) {
			if (now - pending.sentAt >= resendMilliseconds) {
				this.#sendCopy(pending);
			}
		}

		this.#handover.resend();
	}

	/** The circle has changed: copies under way may have another holder now, or need none. */
	#reconsider(): void {
		for (const pending of this.#pending.values()) {
			const authority = this.#authority.authorityOf(pending.record.id);
			if (authority.kind === 'other' || authority.backup?.id !== pending.sentTo) {
				this.#sendCopy(pending);
			}
		}
	}

	#takeCopy(from: MemberId, {era, record, fenced}: RegistryMessageOf<'copy'>): void {
		const {id, nonce, version} = record;
		if (!this.#entry.isActive) {
			return;
		}

		const refuse = (isFenced: boolean, existing?: SubmissionRecord) => {
			const wire = existing === undefined ? undefined : this.#wireOf(existing, existing.verdict === undefined ? 0 : 1);
			this.parts.send(from, {
				kind: 'notCopied', id, nonce, era, isFenced, existing: wire,
			});
		};

		if (!this.#view.isCurrent(from, era)) {
			refuse(true);
			return;
		}

		if (!this.#ranksBefore(id, from, fenced)) {
			refuse(false);
			return;
		}

		const existing = this.#store.get(id);
		if (existing !== undefined && existing.nonce !== nonce) {
			refuse(false, existing);
			return;
		}

		this.#keepCopy(record);
		this.#passOn(record);
		this.parts.send(from, {
			kind: 'copied', id, nonce, version,
		});
	}

	/** What a leaving registrar still accepts goes to those who stay, before it says farewell. */
	#passOn(record: RegistryMessageOf<'copy'>['record']): void {
		if (this.#isLeaving) {
			for (const member of this.#view.rankOfOthers(record.id).slice(0, 2)) {
				this.#handover.add(member.id, [record]);
			}
		}
	}

	/** Whether the sender is the one that decides on the id, in this registrar's view too. */
	#ranksBefore(id: SubmissionId, sender: MemberId, fenced: readonly MemberId[]): boolean {
		const first = this.#view.rank(id).find(member => !fenced.includes(member.id));
		return first?.id === sender;
	}

	#keepCopy(record: RegistryMessageOf<'copy'>['record']): void {
		if (record.version === 2) {
			this.#store.delete(record.id);
			return;
		}

		const known = this.#store.get(record.id);
		if (known !== undefined && this.#isNewer(known, record)) {
			return;
		}

		// A claim that waits here for its copy loses to one that was granted elsewhere.
		const pending = known === undefined || known.nonce === record.nonce ? undefined : this.#pending.get(keyOf(known, 0));
		if (pending !== undefined) {
			this.#abandon(pending);
		}

		const {id, fingerprint, executor, nonce, verdict} = record;
		this.#store.put({
			id, fingerprint, executor, nonce, isGranted: true, verdict, expiresAt: this.parts.clock.now() + record.remainingMilliseconds,
		});
	}

	/** A copy that was under way for longer never puts a settled record back to running, nor a later claim to an earlier. */
	#isNewer(known: SubmissionRecord, record: RegistryMessageOf<'copy'>['record']): boolean {
		if (known.verdict !== undefined) {
			return record.verdict === undefined;
		}

		return known.isGranted && known.nonce !== record.nonce && record.verdict === undefined && known.expiresAt > this.parts.clock.now() + record.remainingMilliseconds;
	}

	#adopt(records: ReadonlyArray<RegistryMessageOf<'copy'>['record']>): void {
		for (const record of records) {
			this.#keepCopy(record);
		}
	}

	#copied(from: MemberId, {id, nonce, version}: RegistryMessageOf<'copied'>): void {
		const pending = this.#pending.get(`${id}|${nonce}|${version}`);
		if (pending?.sentTo === from) {
			this.#finish(pending);
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

		const pending = this.#pending.get(`${id}|${nonce}|0`);
		if (existing === undefined || pending === undefined) {
			return;
		}

		// The other one knows a copy of this submission that this one doesn't: that one stands.
		this.#pending.delete(`${id}|${nonce}|0`);
		this.#store.delete(id);
		this.#keepCopy(existing);
		const claim = {
			kind: 'claim', id, nonce, fingerprint: pending.record.fingerprint, remainingMilliseconds: 0,
		} as const;
		this.#claimKnown(pending.record.executor, claim, this.#store.get(id)!);
	}

	/** Someone enters: it gets all records, and a place in the ranks from now on. */
	#admit(from: MemberId, era: number): void {
		const member = this.parts.surroundings.memberOf(from);
		if (member === undefined) {
			return;
		}

		this.#view.add(member, era);
		const records = this.#grantedRecords().map(record => this.#wireOf(record, record.verdict === undefined ? 0 : 1));
		const batches = batchesOf(records);
		for (const [index, batch] of batches.entries()) {
			this.parts.send(from, {
				kind: 'state',
				era,
				records: batch,
				isLast: index === batches.length - 1,
				isActive: this.#entry.isActive,
				vouchFrom: Math.max(this.#entry.vouchFrom, this.#view.latestDoubleLoss),
				ownEra: this.#entry.era,
			});
		}

		this.#reconsider();
	}

	/** What others must know of; a claim that still waits for its copy isn't granted by anyone. */
	#grantedRecords(): readonly SubmissionRecord[] {
		return [...this.#store.all()].filter(record => record.isGranted);
	}

	#lost(id: MemberId, wasHandedOver: boolean): void {
		this.#entry.memberLost(id);
		if (!this.#view.has(id)) {
			return;
		}

		const before = new Map([...this.#store.all()].map(record => [record.id, this.#backupOf(record.id)]));
		const loss = wasHandedOver ? 'handedOver' : (this.parts.surroundings.isOutOfTouch(id) ? 'outOfTouch' : 'inTouch');
		this.#view.remove(id, loss, this.parts.clock.wallTime());
		this.#reconsider();
		this.#restoreCopies(id, before);
	}

	/** Gives a second place to the records that lost theirs. */
	#restoreCopies(lost: MemberId, before: ReadonlyMap<SubmissionId, MemberId | undefined>): void {
		let outstanding = 1;
		const done = () => {
			outstanding -= 1;
			if (outstanding === 0) {
				this.#announceRestored(lost);
			}
		};

		for (const record of this.#store.all()) {
			const backup = this.#backupOf(record.id);
			const version = record.verdict === undefined ? 0 : 1;
			if (backup !== undefined && backup !== before.get(record.id) && !this.#pending.has(keyOf(record, version))) {
				outstanding += 1;
				this.#replicate(record, version, done);
			}
		}

		done();
	}

	#announceRestored(lost: MemberId): void {
		this.#view.restore(lost, this.parts.self.id);
		for (const member of this.#view.members) {
			this.parts.send(member.id, {kind: 'restored', lost});
		}
	}

	#backupOf(id: SubmissionId): MemberId | undefined {
		const authority = this.#authority.authorityOf(id);
		return authority.kind === 'own' ? authority.backup?.id : undefined;
	}

	#handOver(): void {
		const byMember = new Map<MemberId, Array<RegistryMessageOf<'copy'>['record']>>();
		for (const record of this.#grantedRecords()) {
			for (const member of this.#view.rankOfOthers(record.id).slice(0, 2)) {
				const list = byMember.get(member.id) ?? [];
				byMember.set(member.id, list);
				list.push(this.#wireOf(record, record.verdict === undefined ? 0 : 1));
			}
		}

		for (const [to, records] of byMember) {
			for (const batch of batchesOf(records)) {
				this.#handover.add(to, batch);
			}
		}
	}

	#wireOf(record: SubmissionRecord, version: number): RegistryMessageOf<'copy'>['record'] {
		const {id, fingerprint, executor, nonce, verdict, expiresAt} = record;
		return {
			id, fingerprint, executor, nonce, verdict, version, remainingMilliseconds: expiresAt - this.parts.clock.now(),
		};
	}
}

function keyOf(record: SubmissionRecord, version: number): string {
	return `${record.id}|${record.nonce}|${version}`;
}

function batchesOf<Item>(items: readonly Item[]): readonly Item[][] {
	const batches: Item[][] = [];
	for (let start = 0; start === 0 || start < items.length; start += recordsPerBatch) {
		batches.push(items.slice(start, start + recordsPerBatch));
	}

	return batches;
}
