/** Replicates a primary's records to their backups. */
import type {Clock} from '../../base/clock.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {PrimarySelection} from './primary-selection.js';
import type {GroupJoin} from './group-join.js';
import type {GroupView} from './group-view.js';
import {recordCopyOf} from './record-copy-of.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';
import type {SubmissionRecord} from './submission-record.js';
import type {RecordCoverage} from './record-coverage.js';

const resendMilliseconds = 200;

/** A copy that is not acknowledged yet. */
type PendingCopy = {readonly record: SubmissionRecord; readonly version: number; sentTo: MemberId | undefined; sentAt: number; readonly onDone: () => void};

type ReplicationParts = {
	readonly clock: Clock;
	readonly view: GroupView;
	readonly groupJoin: GroupJoin;
	readonly primarySelection: PrimarySelection;
	readonly coverage: RecordCoverage;
	readonly canDecide: () => boolean;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
	/** Called if, when its copy is sent, a claim turns out to have possibly been granted before. */
	readonly onUncertain: (record: SubmissionRecord, uncertainty: Verdict<JobAnswer>) => void;
};

/** Resends each copy until the current backup acknowledges it, or until another registrar becomes the primary. */
export class Replication {
	readonly #pending = new Map<string, PendingCopy>();

	constructor(private readonly parts: ReplicationParts) {}

	isPending(record: SubmissionRecord, version: number): boolean {
		return this.#pending.has(keyOf(record, version));
	}

	/** Sends a record to the backup and calls `onDone` once it is acknowledged; immediately if there is no backup. */
	replicate(record: SubmissionRecord, version: number, done: () => void): void {
		const pending: PendingCopy = {
			record, version, sentTo: undefined, sentAt: Number.NEGATIVE_INFINITY, onDone: done,
		};
		this.#pending.set(keyOf(record, version), pending);
		this.#send(pending);
	}

	copied(from: MemberId, {id, nonce, version}: RegistryMessageOf<'copied'>): void {
		const pending = this.#pending.get(keyOf({id, nonce}, version));
		if (pending?.sentTo === from) {
			this.#finish(pending);
		}
	}

	/** Cancels the replication of a claim that isn't granted yet, and returns its record, if there is one. */
	withdraw(claim: Pick<SubmissionRecord, 'id' | 'nonce'>): SubmissionRecord | undefined {
		const key = keyOf(claim, 0);
		const pending = this.#pending.get(key);
		this.#pending.delete(key);
		return pending?.record;
	}

	/** Abandons a claim that is not replicated yet, because another claim was granted elsewhere. */
	abandonClaim(claim: SubmissionRecord): void {
		const pending = this.#pending.get(keyOf(claim, 0));
		if (pending !== undefined) {
			this.#abandon(pending);
		}
	}

	resend(): void {
		const now = this.parts.clock.now();
		for (const pending of this.#pending.values()) {
			if (now - pending.sentAt >= resendMilliseconds) {
				this.#send(pending);
			}
		}
	}

	/** Sends pending copies to their new backup, or completes them without one, after a change of the group. */
	retarget(): void {
		for (const pending of this.#pending.values()) {
			const primary = this.parts.primarySelection.primaryOf(pending.record.id);
			if (primary.kind === 'other' || primary.backup?.id !== pending.sentTo) {
				this.#send(pending);
			}
		}
	}

	#send(pending: PendingCopy): void {
		const {record, version} = pending;
		const {clock, view, groupJoin, primarySelection, send} = this.parts;
		const primary = primarySelection.primaryOf(record.id);
		if (primary.kind === 'other' || !this.parts.canDecide()) {
			this.#abandon(pending);
			return;
		}

		// Since the claim was received, the backup may have granted the id itself and then been lost.
		const uncertainty = version === 0 && !record.isGranted ? this.parts.coverage.uncertaintyOf(record.id) : undefined;
		if (uncertainty !== undefined) {
			this.#pending.delete(keyOf(record, version));
			this.parts.onUncertain(record, uncertainty);
			return;
		}

		if (primary.backup === undefined) {
			this.#finish(pending);
			return;
		}

		pending.sentTo = primary.backup.id;
		pending.sentAt = clock.now();
		send(primary.backup.id, {
			kind: 'copy', era: groupJoin.era, record: recordCopyOf(record, clock.now(), version), fenced: [...view.fenced],
		});
	}

	#finish(pending: PendingCopy): void {
		this.#pending.delete(keyOf(pending.record, pending.version));
		pending.onDone();
	}

	/**
	 * Abandons a copy because another registrar is the primary now, or this one can't decide. A claim that isn't granted yet
	 * is redirected. Its record stays, because the new primary may have received a copy and grant it.
	 */
	#abandon({record, version}: PendingCopy): void {
		this.#pending.delete(keyOf(record, version));
		if (version === 0) {
			this.parts.send(record.executor, {kind: 'redirect', id: record.id, nonce: record.nonce});
		}
	}
}

function keyOf({id, nonce}: {readonly id: SubmissionId; readonly nonce: string}, version: number): string {
	return `${id}|${nonce}|${version}`;
}
