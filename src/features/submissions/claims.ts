/** Decides on the claims of submissions, and tells their desks what came of them. */
import type {Clock} from '../../base/clock.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {AuthorityRule} from './authority-rule.js';
import type {RecordStore} from './record-store.js';
import type {RegistryMessage} from './registry-message.js';
import type {RegistryMessageOf} from './registry-message-of.js';
import type {Replication} from './replication.js';
import type {SubmissionRecord} from './submission-record.js';
import type {Vouching} from './vouching.js';

/** Beyond the deadline of a running submission, after which its executor is given up. */
const graceMilliseconds = 5000;

type Waiter = {readonly member: MemberId; readonly nonce: string};

type ClaimsParts = {
	readonly clock: Clock;
	readonly journal: Journal;
	readonly store: RecordStore;
	readonly authority: AuthorityRule;
	readonly vouching: Vouching;
	readonly replication: Replication;
	readonly canDecide: () => boolean;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
	readonly retentionMilliseconds: number;
};

/** Grants an id once, after its record has a copy; later claims of it wait for the verdict of the first. */
export class Claims {
	readonly #waiters = new Map<SubmissionId, Waiter[]>();

	constructor(private readonly parts: ClaimsParts) {}

	claim(from: MemberId, claim: RegistryMessageOf<'claim'>): void {
		const {id, nonce} = claim;
		const record = this.parts.store.get(id);
		if (this.#isRedirected(from, id, nonce)) {
			return;
		}

		if (record !== undefined) {
			this.answerKnown(from, claim, record);
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

	/** Answers a claim of an id that has a record. */
	answerKnown(from: MemberId, {id, nonce, fingerprint}: Pick<SubmissionRecord, 'id' | 'nonce' | 'fingerprint'>, record: SubmissionRecord): void {
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

	settle(from: MemberId, {id, nonce, fingerprint, verdict}: RegistryMessageOf<'settle'>): void {
		const {store} = this.parts;
		if (this.#isRedirected(from, id, nonce)) {
			return;
		}

		const known = store.get(id);
		// A record of another claim, or one that was given up already, isn't changed by what comes late.
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

	/** A claim that was about to be granted may have been before: its executor learns of the doubt like all who wait. */
	doubt(record: SubmissionRecord, doubt: Verdict<JobAnswer>): void {
		this.#addWaiter(record.id, {member: record.executor, nonce: record.nonce});
		this.#settleRecord(record, doubt);
	}

	/** Forgets what has expired, and gives up what still runs. */
	expire(now: number): void {
		for (const record of this.parts.store.expire(now)) {
			this.#giveUp(record, 'its executor did not settle it in time');
		}
	}

	/** An entry is gone for good: what it ran is in doubt. */
	executorLost(id: MemberId): void {
		for (const record of this.parts.store.all()) {
			if (record.executor === id && record.verdict === undefined) {
				this.#giveUp(record, 'the entry that ran it is gone');
			}
		}
	}

	/** Sends a desk on where another registrar decides on the id, or this one doesn't take part; returns whether it did. */
	#isRedirected(from: MemberId, id: SubmissionId, nonce: string): boolean {
		const authority = this.parts.authority.authorityOf(id);
		if (authority.kind === 'own' && this.parts.canDecide()) {
			return false;
		}

		this.parts.send(from, {
			kind: 'redirect', id, nonce, to: authority.kind === 'other' ? authority.member.id : undefined,
		});
		return true;
	}

	/** The reply was lost, or the copy never arrived: the same claim gets the same grant, but none without a copy. */
	#claimAgain(record: SubmissionRecord): void {
		if (record.isGranted) {
			this.parts.send(record.executor, {kind: 'granted', id: record.id, nonce: record.nonce});
		} else if (!this.parts.replication.has(record, 0)) {
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
		const doubt = this.parts.vouching.doubtOf(id);
		if (doubt !== undefined || this.parts.store.hasRoom) {
			return doubt;
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

	#giveUp(record: SubmissionRecord, detail: string): void {
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
