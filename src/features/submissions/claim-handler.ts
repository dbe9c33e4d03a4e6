/** Handles claims and settlements of submissions at their primary registrar. */
import type {Clock} from '../../base/clock.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {PrimarySelection} from './primary-selection.js';
import type {RecordStore} from './record-store.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';
import type {Replication} from './replication.js';
import type {SubmissionRecord} from './submission-record.js';
import type {RecordCoverage} from './record-coverage.js';

/** Time after the deadline of a running submission until its executor is considered lost. */
const graceMilliseconds = 5000;

type Waiter = {readonly member: MemberId; readonly nonce: string};

type ClaimHandlerParts = {
	readonly clock: Clock;
	readonly journal: Journal;
	readonly store: RecordStore;
	readonly primarySelection: PrimarySelection;
	readonly coverage: RecordCoverage;
	readonly replication: Replication;
	readonly canDecide: () => boolean;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
	readonly retentionMilliseconds: number;
};

/** Grants an id once, after its record is replicated. Later claims wait for the verdict of the first. */
export class ClaimHandler {
	readonly #waiters = new Map<SubmissionId, Waiter[]>();

	constructor(private readonly parts: ClaimHandlerParts) {}

	claim(from: MemberId, claim: RegistryMessageOf<'claim'>): void {
		const {id, nonce} = claim;
		const record = this.parts.store.get(id);
		if (this.#redirectUnlessPrimary(from, id, nonce)) {
			return;
		}

		if (record !== undefined) {
			this.answerFromRecord(from, claim, record);
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

	/** Replies to a claim of an id that has a record. */
	answerFromRecord(from: MemberId, {id, nonce, fingerprint}: Pick<SubmissionRecord, 'id' | 'nonce' | 'fingerprint'>, record: SubmissionRecord): void {
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
			this.#answerRepeatedClaim(record);
		} else {
			this.#addWaiter(id, {member: from, nonce});
			this.parts.send(from, {kind: 'waiting', id, nonce});
		}
	}

	settle(from: MemberId, {id, nonce, fingerprint, verdict}: RegistryMessageOf<'settle'>): void {
		const {store} = this.parts;
		if (this.#redirectUnlessPrimary(from, id, nonce)) {
			return;
		}

		const known = store.get(id);
		// A late settlement must change neither the record of another claim nor a definite verdict.
		if (known !== undefined && (known.nonce !== nonce || (known.verdict !== undefined && known.verdict.kind !== 'mayHaveRun'))) {
			this.parts.send(from, {kind: 'settled', id, nonce});
			return;
		}

		const expiresAt = this.parts.clock.now() + this.parts.retentionMilliseconds;
		const record = store.put({
			id, fingerprint, executor: from, nonce, isGranted: true, verdict, expiresAt,
		});
		const version = verdict.kind === 'notRun' ? 2 : 1;
		this.#conclude(id, verdict);
		this.parts.replication.replicate(record, version, () => {
			this.parts.send(from, {kind: 'settled', id, nonce});
		});
		if (version === 2) {
			store.delete(id);
		}
	}

	cancel(id: SubmissionId): void {
		const record = this.parts.store.get(id);
		if (record !== undefined && record.verdict === undefined) {
			this.parts.send(record.executor, {kind: 'cancelRequested', id});
		}
	}

	/** Concludes a claim whose id may have been granted before, for its claimant and all waiters. */
	concludeUncertain(record: SubmissionRecord, uncertainty: Verdict<JobAnswer>): void {
		this.#addWaiter(record.id, {member: record.executor, nonce: record.nonce});
		this.#settleRecord(record, uncertainty);
	}

	/** Deletes expired records, and concludes expired runs as lost. */
	expireRecords(now: number): void {
		for (const record of this.parts.store.expire(now)) {
			this.#abandonRun(record, 'its executor did not settle it in time');
		}
	}

	/** Concludes the submissions that a lost entry was running as possibly run. */
	executorLost(id: MemberId): void {
		for (const record of this.parts.store.all()) {
			if (record.executor === id && record.verdict === undefined) {
				this.#abandonRun(record, 'the entry that ran it is gone');
			}
		}
	}

	/** Redirects a client if this registrar isn't the primary of the id, or isn't active; returns whether it did. */
	#redirectUnlessPrimary(from: MemberId, id: SubmissionId, nonce: string): boolean {
		const primary = this.parts.primarySelection.primaryOf(id);
		if (primary.kind === 'self' && this.parts.canDecide()) {
			return false;
		}

		this.parts.send(from, {
			kind: 'redirect', id, nonce, to: primary.kind === 'other' ? primary.member.id : undefined,
		});
		return true;
	}

	/** Repeats a grant whose reply was lost, or replicates it again if its copy was never confirmed. */
	#answerRepeatedClaim(record: SubmissionRecord): void {
		if (record.isGranted) {
			this.parts.send(record.executor, {kind: 'granted', id: record.id, nonce: record.nonce});
		} else if (!this.parts.replication.isPending(record, 0)) {
			this.#replicateGrant(record);
		}
	}

	#addWaiter(id: SubmissionId, waiter: Waiter): void {
		const waiters = this.#waiters.get(id) ?? [];
		if (!waiters.some(({nonce}) => nonce === waiter.nonce)) {
			this.#waiters.set(id, [...waiters, waiter]);
		}
	}

	/** Reason for refusing an id without a record: an earlier record may be lost, or the store is full. */
	#refusalOf(id: SubmissionId): Verdict<JobAnswer> | undefined {
		const uncertainty = this.parts.coverage.uncertaintyOf(id);
		if (uncertainty !== undefined || this.parts.store.hasRoom) {
			return uncertainty;
		}

		return {
			kind: 'notRun', cause: 'registryUnavailable', detail: 'there is no room for another record', retryAfterMilliseconds: 5000,
		};
	}

	#grant(from: MemberId, {id, nonce, fingerprint, remainingMilliseconds}: RegistryMessageOf<'claim'>): void {
		const expiresAt = this.parts.clock.now() + remainingMilliseconds + graceMilliseconds;
		this.#replicateGrant(this.parts.store.put({
			id, fingerprint, executor: from, nonce, isGranted: false, verdict: undefined, expiresAt,
		}));
	}

	#replicateGrant(record: SubmissionRecord): void {
		this.parts.replication.replicate(record, 0, () => {
			record.isGranted = true;
			this.parts.send(record.executor, {kind: 'granted', id: record.id, nonce: record.nonce});
		});
	}

	#abandonRun(record: SubmissionRecord, detail: string): void {
		this.parts.journal.record('submissionGivenUp', {submission: record.id, executor: record.executor, detail});
		this.#settleRecord(record, {kind: 'mayHaveRun', cause: 'executorLost', detail});
	}

	#settleRecord(record: SubmissionRecord, verdict: Verdict<JobAnswer>): void {
		this.parts.store.put({...record, verdict, expiresAt: this.parts.clock.now() + this.parts.retentionMilliseconds});
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
}
