/** Writes the records that a registrar decides on to the holders of their copies. */
import type {Clock} from '../../base/clock.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {AuthorityRule} from './authority-rule.js';
import type {CircleEntry} from './circle-entry.js';
import type {CircleView} from './circle-view.js';
import {recordCopyOf} from './record-copy-of.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';
import type {SubmissionRecord} from './submission-record.js';
import type {Vouching} from './vouching.js';

const resendMilliseconds = 200;

/** A copy under way, and whom to tell when it has arrived. */
type Pending = {readonly record: SubmissionRecord; readonly version: number; sentTo: MemberId | undefined; sentAt: number; readonly done: () => void};

type ReplicationParts = {
	readonly clock: Clock;
	readonly view: CircleView;
	readonly entry: CircleEntry;
	readonly authority: AuthorityRule;
	readonly vouching: Vouching;
	readonly canDecide: () => boolean;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
	/** Called with a claim that may have been granted before, where that shows only when its copy is sent. */
	readonly onDoubt: (record: SubmissionRecord, doubt: Verdict<JobAnswer>) => void;
};

/** Sends each copy until its holder has it, whoever that is meanwhile, or until another registrar decides on the id. */
export class Replication {
	readonly #pending = new Map<string, Pending>();

	constructor(private readonly parts: ReplicationParts) {}

	has(record: SubmissionRecord, version: number): boolean {
		return this.#pending.has(keyOf(record, version));
	}

	/** Writes a record to the copy's holder, and calls back once it has it; at once where there's none. */
	replicate(record: SubmissionRecord, version: number, done: () => void): void {
		const pending: Pending = {
			record, version, sentTo: undefined, sentAt: Number.NEGATIVE_INFINITY, done,
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

	/** Stops the copy of a claim that isn't granted yet; returns its record, if there is one. */
	withdraw(claim: Pick<SubmissionRecord, 'id' | 'nonce'>): SubmissionRecord | undefined {
		const key = keyOf(claim, 0);
		const pending = this.#pending.get(key);
		this.#pending.delete(key);
		return pending?.record;
	}

	/** A claim that waits for its copy isn't granted here: another one was, elsewhere. */
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

	/** The circle has changed: copies under way may have another holder now, or need none. */
	reconsider(): void {
		for (const pending of this.#pending.values()) {
			const authority = this.parts.authority.authorityOf(pending.record.id);
			if (authority.kind === 'other' || authority.backup?.id !== pending.sentTo) {
				this.#send(pending);
			}
		}
	}

	#send(pending: Pending): void {
		const {record, version} = pending;
		const {clock, view, entry, authority: rule, send} = this.parts;
		const authority = rule.authorityOf(record.id);
		if (authority.kind === 'other' || !this.parts.canDecide()) {
			this.#abandon(pending);
			return;
		}

		// Since the claim came, the copy's holder may have been lost, which may have granted the id itself.
		const doubt = version === 0 && !record.isGranted ? this.parts.vouching.doubtOf(record.id) : undefined;
		if (doubt !== undefined) {
			this.#pending.delete(keyOf(record, version));
			this.parts.onDoubt(record, doubt);
			return;
		}

		if (authority.backup === undefined) {
			this.#finish(pending);
			return;
		}

		pending.sentTo = authority.backup.id;
		pending.sentAt = clock.now();
		send(authority.backup.id, {
			kind: 'copy', era: entry.era, record: recordCopyOf(record, clock.now(), version), fenced: [...view.fenced],
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
}

function keyOf({id, nonce}: {readonly id: SubmissionId; readonly nonce: string}, version: number): string {
	return `${id}|${nonce}|${version}`;
}
