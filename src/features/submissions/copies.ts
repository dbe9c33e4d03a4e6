/** Keeps the copies of records that other registrars decide on. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {CircleEntry} from './circle-entry.js';
import type {CircleView} from './circle-view.js';
import {recordCopyOf} from './record-copy-of.js';
import type {RecordCopy} from './record-copy.js';
import type {RecordStore} from './record-store.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';
import type {Replication} from './replication.js';
import type {StateTransfer} from './state-transfer.js';
import type {SubmissionRecord} from './submission-record.js';

type CopiesParts = {
	readonly clock: Clock;
	readonly view: CircleView;
	readonly entry: CircleEntry;
	readonly store: RecordStore;
	readonly replication: Replication;
	readonly transfer: StateTransfer;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Refuses the copies of an owner in whose place it may act, so that the owner can't grant any more. */
export class Copies {
	constructor(private readonly parts: CopiesParts) {}

	/** Takes an owner's copy, or tells it why not. */
	take(from: MemberId, {era, record, fenced}: RegistryMessageOf<'copy'>): void {
		const {id, nonce, version} = record;
		const {clock, view, entry, store, transfer, send} = this.parts;
		if (!entry.isActive) {
			return;
		}

		const refuse = (isFenced: boolean, existing?: SubmissionRecord) => {
			send(from, {
				kind: 'notCopied', id, nonce, era, isFenced, existing: existing === undefined ? undefined : recordCopyOf(existing, clock.now()),
			});
		};

		if (!view.isCurrent(from, era)) {
			refuse(true);
			return;
		}

		if (!this.#ranksBefore(id, from, fenced)) {
			refuse(false);
			return;
		}

		const existing = store.get(id);
		if (existing !== undefined && existing.nonce !== nonce) {
			refuse(false, existing);
			return;
		}

		this.keep(record);
		transfer.passOn(record);
		send(from, {
			kind: 'copied', id, nonce, version,
		});
	}

	/** Takes what another one had, where nothing newer is known here. */
	keep(record: RecordCopy): void {
		const {clock, store, replication} = this.parts;
		if (record.version === 2) {
			store.delete(record.id);
			return;
		}

		const known = store.get(record.id);
		if (known !== undefined && this.#isNewer(known, record)) {
			return;
		}

		// A claim that waits here for its copy loses to one that was granted elsewhere.
		if (known !== undefined && known.nonce !== record.nonce) {
			replication.abandonClaim(known);
		}

		const {id, fingerprint, executor, nonce, verdict} = record;
		store.put({
			id, fingerprint, executor, nonce, isGranted: true, verdict, expiresAt: clock.now() + record.remainingMilliseconds,
		});
	}

	/** Takes the records of a registrar that leaves, or that was there before this one entered. */
	adopt(records: readonly RecordCopy[]): void {
		for (const record of records) {
			this.keep(record);
		}
	}

	/** Whether the sender is the one that decides on the id, in this registrar's view too. */
	#ranksBefore(id: SubmissionId, sender: MemberId, fenced: readonly MemberId[]): boolean {
		const first = this.parts.view.rank(id).find(member => !fenced.includes(member.id));
		return first?.id === sender;
	}

	/** A copy that was under way for longer never puts a settled record back to running, nor a later claim to an earlier. */
	#isNewer(known: SubmissionRecord, record: RecordCopy): boolean {
		if (known.verdict !== undefined) {
			return record.verdict === undefined;
		}

		return known.isGranted && known.nonce !== record.nonce && record.verdict === undefined && known.expiresAt > this.parts.clock.now() + record.remainingMilliseconds;
	}
}
