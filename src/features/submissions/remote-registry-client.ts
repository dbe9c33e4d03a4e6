/** Registry client that sends requests to the registrars of a submission's home zone. */
import {match} from 'ts-pattern';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import {Emitter} from '../../base/emitter.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Claim} from './claim.js';
import {homeZoneOf} from './home-zone-of.js';
import {PendingClaims} from './pending-claims.js';
import type {RegistryMessage} from './registry-message.js';
import {PendingSettlements} from './pending-settlements.js';
import {RegistryClient} from './registry-client.js';
import type {Submission} from './submission.js';

/** Interval at which the owner calls `tick`. */
const tickMilliseconds = 100;

type Reply = Extract<RegistryMessage, {kind: 'granted' | 'waiting' | 'concluded' | 'redirect' | 'settled' | 'cancelRequested'}>;

type RemoteRegistryClientParts = {
	readonly self: MemberId;
	readonly zones: readonly AvailabilityZone[];
	readonly clock: Clock;
	readonly journal: Journal;
	readonly membersOf: (zone: AvailabilityZone) => readonly Member[];
	readonly isSilent: (member: MemberId) => boolean;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Retries claims until they are decided or time out, and settlements until they are acknowledged or time out. */
export class RemoteRegistryClient extends RegistryClient {
	static readonly tickMilliseconds = tickMilliseconds;

	readonly #claims: PendingClaims;
	readonly #granted = new Map<string, Pick<Submission, 'id' | 'fingerprint'>>();
	readonly #settlements: PendingSettlements;
	readonly #cancelEmitter = new Emitter<SubmissionId>();

	constructor(private readonly parts: RemoteRegistryClientParts) {
		super();
		this.#claims = new PendingClaims(parts);
		this.#settlements = new PendingSettlements(parts);
	}

	/** Fires when the cancellation of a submission that runs at this entry is requested. */
	override get onDidRequestCancel() {
		return this.#cancelEmitter.event;
	}

	/** True if no settlement is pending. */
	get hasSettledAll(): boolean {
		return this.#settlements.size === 0;
	}

	override async claim(submission: Submission, token: CancellationToken): Promise<Claim> {
		return this.#claims.claim(submission, token);
	}

	override settle(id: SubmissionId, nonce: string, verdict: Verdict<JobAnswer>): void {
		const fingerprint = this.#granted.get(nonce)?.fingerprint ?? '';
		this.#granted.delete(nonce);
		this.#settlements.add({id, fingerprint}, nonce, verdict);
	}

	override cancel(id: SubmissionId): void {
		const home = homeZoneOf(id, this.parts.zones);
		for (const member of this.parts.membersOf(home)) {
			this.parts.send(member.id, {kind: 'cancel', id});
		}
	}

	receive(from: MemberId, reply: Reply): void {
		match(reply)
			.with({kind: 'cancelRequested'}, ({id}) => {
				this.#cancelEmitter.fire(id);
			})
			.with({kind: 'settled'}, ({nonce}) => {
				this.#settlements.acknowledge(nonce);
			})
			.with({kind: 'granted'}, ({id, nonce}) => {
				this.#receiveGrant(id, nonce);
			})
			.with({kind: 'concluded'}, ({nonce, verdict}) => {
				this.#claims.conclude(nonce, {kind: 'concluded', verdict});
			})
			.with({kind: 'waiting'}, ({nonce}) => {
				this.#claims.markWaiting(nonce);
			})
			.with({kind: 'redirect'}, ({nonce, to}) => {
				const other = to === from ? undefined : to;
				this.#claims.redirect(from, nonce, other);
				this.#settlements.redirected(nonce, other);
			})
			.exhaustive();
	}

	tick(): void {
		this.#claims.tick();
		this.#settlements.tick();
	}

	/** Accepts a grant, or releases it if its claim has already timed out. */
	#receiveGrant(id: SubmissionId, nonce: string): void {
		const submission = this.#claims.submissionOf(nonce);
		if (submission !== undefined) {
			this.#granted.set(nonce, {id, fingerprint: submission.fingerprint});
			this.#claims.conclude(nonce, {kind: 'granted', nonce});
		} else if (!this.#granted.has(nonce) && !this.#settlements.has(nonce)) {
			this.settle(id, nonce, {kind: 'notRun', cause: 'registryUnavailable', detail: 'the grant came too late'});
		}
	}
}
