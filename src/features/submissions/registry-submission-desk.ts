/** Asks the registrars of a submission's home zone. */
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
import {OpenClaims} from './open-claims.js';
import type {RegistryMessage} from './registry-message.js';
import {Settlements} from './settlements.js';
import {RegistryClient} from './registry-client.js';
import type {Submission} from './submission.js';

/** The owner calls `tick` this often. */
const tickMilliseconds = 100;

type Reply = Extract<RegistryMessage, {kind: 'granted' | 'waiting' | 'concluded' | 'redirect' | 'settled' | 'cancelRequested'}>;

type RegistrySubmissionDeskParts = {
	readonly self: MemberId;
	readonly zones: readonly AvailabilityZone[];
	readonly clock: Clock;
	readonly journal: Journal;
	readonly membersOf: (zone: AvailabilityZone) => readonly Member[];
	readonly isSilent: (member: MemberId) => boolean;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Keeps every claim until it's decided or its time is over, and every settlement until it's taken. */
export class RegistrySubmissionDesk extends RegistryClient {
	static readonly tickMilliseconds = tickMilliseconds;

	readonly #claims: OpenClaims;
	readonly #granted = new Map<string, Pick<Submission, 'id' | 'fingerprint'>>();
	readonly #settlements: Settlements;
	readonly #requestCancel = new Emitter<SubmissionId>();

	constructor(private readonly parts: RegistrySubmissionDeskParts) {
		super();
		this.#claims = new OpenClaims(parts);
		this.#settlements = new Settlements(parts);
	}

	/** Fires when somebody asks for the end of a submission that runs here. */
	override get onDidRequestCancel() {
		return this.#requestCancel.event;
	}

	/** True when every verdict was taken by a registrar. */
	get isSettled(): boolean {
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
				this.#requestCancel.fire(id);
			})
			.with({kind: 'settled'}, ({nonce}) => {
				this.#settlements.taken(nonce);
			})
			.with({kind: 'granted'}, ({id, nonce}) => {
				this.#takeGrant(id, nonce);
			})
			.with({kind: 'concluded'}, ({nonce, verdict}) => {
				this.#claims.end(nonce, {kind: 'concluded', verdict});
			})
			.with({kind: 'waiting'}, ({nonce}) => {
				this.#claims.wait(nonce);
			})
			.with({kind: 'redirect'}, ({nonce, to}) => {
				const other = to === from ? undefined : to;
				this.#claims.redirected(from, nonce, other);
				this.#settlements.redirected(nonce, other);
			})
			.exhaustive();
	}

	tick(): void {
		this.#claims.tick();
		this.#settlements.tick();
	}

	/** A grant that comes after the claim was given up is given back: nothing of it was run. */
	#takeGrant(id: SubmissionId, nonce: string): void {
		const submission = this.#claims.submissionOf(nonce);
		if (submission !== undefined) {
			this.#granted.set(nonce, {id, fingerprint: submission.fingerprint});
			this.#claims.end(nonce, {kind: 'granted', nonce});
		} else if (!this.#granted.has(nonce) && !this.#settlements.has(nonce)) {
			this.settle(id, nonce, {kind: 'notRun', cause: 'registryUnavailable', detail: 'the grant came too late'});
		}
	}
}
