/** Receives the records that other registrars replicate to this one. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {GroupJoin} from './group-join.js';
import type {GroupView} from './group-view.js';
import {recordCopyOf} from './record-copy-of.js';
import type {RecordCopy} from './record-copy.js';
import type {RecordStore} from './record-store.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';
import type {Replication} from './replication.js';
import type {StateTransfer} from './state-transfer.js';
import type {SubmissionRecord} from './submission-record.js';

type BackupReceiverParts = {
	readonly clock: Clock;
	readonly view: GroupView;
	readonly groupJoin: GroupJoin;
	readonly store: RecordStore;
	readonly replication: Replication;
	readonly transfer: StateTransfer;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Stores copies as the backup. Rejects those of a fenced primary, so that it can't grant any more claims. */
export class BackupReceiver {
	constructor(private readonly parts: BackupReceiverParts) {}

	/** Stores a primary's copy and acknowledges it, or replies with the reason for the rejection. */
	receive(from: MemberId, {era, record, fenced}: RegistryMessageOf<'copy'>): void {
		const {id, nonce, version} = record;
		const {clock, view, groupJoin, store, transfer, send} = this.parts;
		if (!groupJoin.isActive) {
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

		if (!this.#isPrimary(id, from, fenced)) {
			refuse(false);
			return;
		}

		const existing = store.get(id);
		if (existing !== undefined && existing.nonce !== nonce) {
			refuse(false, existing);
			return;
		}

		this.merge(record);
		transfer.forward(record);
		send(from, {
			kind: 'copied', id, nonce, version,
		});
	}

	/** Merges another registrar's record unless the local one is newer. */
	merge(record: RecordCopy): void {
		const {clock, store, replication} = this.parts;
		if (record.version === 2) {
			store.delete(record.id);
			return;
		}

		const known = store.get(record.id);
		if (known !== undefined && this.#isLocalNewer(known, record)) {
			return;
		}

		// A claim granted elsewhere takes precedence over a local one that is not replicated yet.
		if (known !== undefined && known.nonce !== record.nonce) {
			replication.abandonClaim(known);
		}

		const {id, fingerprint, executor, nonce, verdict} = record;
		store.put({
			id, fingerprint, executor, nonce, isGranted: true, verdict, expiresAt: clock.now() + record.remainingMilliseconds,
		});
	}

	/** Merges the records of a leaving registrar, or of a member of the group that this registrar joins. */
	mergeAll(records: readonly RecordCopy[]): void {
		for (const record of records) {
			this.merge(record);
		}
	}

	/** Whether the sender is the primary of the id in this registrar's view as well. */
	#isPrimary(id: SubmissionId, sender: MemberId, fenced: readonly MemberId[]): boolean {
		const first = this.parts.view.rank(id).find(member => !fenced.includes(member.id));
		return first?.id === sender;
	}

	/** Whether the local record is newer: a delayed copy must not revert a settled record, nor a claim to an earlier one. */
	#isLocalNewer(known: SubmissionRecord, record: RecordCopy): boolean {
		if (known.verdict !== undefined) {
			return record.verdict === undefined;
		}

		return known.isGranted && known.nonce !== record.nonce && record.verdict === undefined && known.expiresAt > this.parts.clock.now() + record.remainingMilliseconds;
	}
}
