/** Claims of an entry's submissions that are not decided yet. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import type {UncertaintyCause} from '../../base/uncertainty-cause.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Claim} from './claim.js';
import {homeZoneOf} from './home-zone-of.js';
import type {RegistryMessage} from './registry-message.js';
import type {Submission} from './submission.js';

/** Reply timeout after which the next registrar is asked. */
const replyTimeoutMilliseconds = 300;
/** Delay before a retry after a redirect. */
const retryDelayMilliseconds = 100;
/** Claim timeout if all members of the home zone are silent; long enough to re-establish a lost connection. */
const silentZoneTimeoutMilliseconds = 2000;
/** Claim timeout if some members of the home zone are reachable. */
const claimTimeoutMilliseconds = 3000;
/** Interval at which a waiting claim is repeated, in case the registrar that recorded the waiter was lost. */
const waitingRetryMilliseconds = 2000;

type PendingClaim = {
	readonly submission: Submission;
	readonly nonce: string;
	readonly home: AvailabilityZone;
	readonly startedAt: number;
	readonly conclude: (claim: Claim) => void;
	readonly unanswered: Set<MemberId>;
	askedMember: MemberId | undefined;
	retryAt: number;
	isWaiting: boolean;
	isRedirected: boolean;
};

type PendingClaimsParts = {
	readonly self: MemberId;
	readonly zones: readonly AvailabilityZone[];
	readonly clock: Clock;
	readonly journal: Journal;
	readonly membersOf: (zone: AvailabilityZone) => readonly Member[];
	readonly isSilent: (member: MemberId) => boolean;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Asks the registrars of a submission's home zone by rank until one decides or the claim times out. */
export class PendingClaims {
	readonly #pending = new Map<string, PendingClaim>();
	#claims = 0;

	constructor(private readonly parts: PendingClaimsParts) {}

	async claim(submission: Submission, token: CancellationToken): Promise<Claim> {
		this.#claims += 1;
		const nonce = `${this.parts.self}:${this.#claims}`;
		const now = this.parts.clock.now();
		return new Promise<Claim>(resolve => {
			const pending: PendingClaim = {
				submission,
				nonce,
				home: homeZoneOf(submission.id, this.parts.zones),
				startedAt: now,
				unanswered: new Set(),
				askedMember: undefined,
				retryAt: now,
				isWaiting: false,
				isRedirected: false,
				conclude: claim => {
					registration.dispose();
					this.#pending.delete(nonce);
					resolve(claim);
				},
			};
			this.#pending.set(nonce, pending);
			const registration = token.onDidRequestCancellation(() => {
				this.#concludeUncertain(pending, 'waitExpired', 'the wait was cancelled');
			});
			this.#ask(pending);
		});
	}

	submissionOf(nonce: string): Submission | undefined {
		return this.#pending.get(nonce)?.submission;
	}

	/** Concludes a claim with a registrar's decision. */
	conclude(nonce: string, claim: Claim): void {
		this.#pending.get(nonce)?.conclude(claim);
	}

	/** Marks a claim as waiting for the verdict of another claim that is running. */
	markWaiting(nonce: string): void {
		const pending = this.#pending.get(nonce);
		if (pending !== undefined) {
			pending.isWaiting = true;
			pending.retryAt = this.parts.clock.now() + waitingRetryMilliseconds;
		}
	}

	/** Redirects to another registrar, because the one that was asked isn't the primary. */
	redirect(from: MemberId, nonce: string, to: MemberId | undefined): void {
		const pending = this.#pending.get(nonce);
		if (pending?.askedMember !== from) {
			return;
		}

		pending.retryAt = this.parts.clock.now() + retryDelayMilliseconds;
		pending.askedMember = undefined;
		// Registrars with different views may redirect to each other, so only one redirect is followed in a row.
		if (to !== undefined && !pending.isRedirected) {
			pending.isRedirected = true;
			this.#askMember(pending, to);
		} else {
			pending.isRedirected = false;
		}
	}

	tick(): void {
		const now = this.parts.clock.now();
		for (const pending of this.#pending.values()) {
			this.#check(pending, now);
		}
	}

	#check(pending: PendingClaim, now: number): void {
		if (now >= pending.submission.deadlineAt) {
			if (pending.isWaiting) {
				this.#concludeUncertain(pending, 'waitExpired', 'another copy of the submission was still running at the deadline');
			} else {
				this.#concludeUncertain(pending, 'homeUnreachable', unreachableDetail(pending));
			}

			return;
		}

		if (now < pending.retryAt) {
			return;
		}

		if (pending.askedMember !== undefined && !pending.isWaiting) {
			pending.unanswered.add(pending.askedMember);
		}

		if (!pending.isWaiting && now - pending.startedAt > this.#timeoutFor(pending)) {
			this.#concludeUncertain(pending, 'homeUnreachable', unreachableDetail(pending));
			return;
		}

		this.#ask(pending);
	}

	/** Shorter if no member of the home zone is known or reachable. */
	#timeoutFor(pending: PendingClaim): number {
		const members = this.parts.membersOf(pending.home);
		if (members.length === 0) {
			return 0;
		}

		return members.some(({id}) => !this.#isSilentPeer(id)) ? claimTimeoutMilliseconds : silentZoneTimeoutMilliseconds;
	}

	#ask(pending: PendingClaim): void {
		const ranked = rankByKey(pending.submission.id, this.parts.membersOf(pending.home), member => member.instance);
		const [next] = [
			...ranked.filter(({id}) => !pending.unanswered.has(id) && !this.#isSilentPeer(id)),
			...ranked.filter(({id}) => !pending.unanswered.has(id)),
			...ranked,
		];
		if (next === undefined) {
			pending.retryAt = this.parts.clock.now() + retryDelayMilliseconds;
			return;
		}

		if (pending.unanswered.size >= ranked.length) {
			pending.unanswered.clear();
		}

		this.#askMember(pending, next.id);
	}

	#isSilentPeer(id: MemberId): boolean {
		return id !== this.parts.self && this.parts.isSilent(id);
	}

	#askMember(pending: PendingClaim, to: MemberId): void {
		const now = this.parts.clock.now();
		const {id, fingerprint, deadlineAt} = pending.submission;
		pending.askedMember = to;
		pending.retryAt = now + replyTimeoutMilliseconds;
		this.parts.send(to, {
			kind: 'claim', id, fingerprint, nonce: pending.nonce, remainingMilliseconds: Math.max(0, deadlineAt - now),
		});
	}

	#concludeUncertain(pending: PendingClaim, cause: UncertaintyCause, detail: string): void {
		if (cause === 'homeUnreachable') {
			this.parts.journal.record('claimUndecided', {
				submission: pending.submission.id, zone: pending.home, milliseconds: Math.round(this.parts.clock.now() - pending.startedAt),
			});
		}

		pending.conclude({kind: 'concluded', verdict: {kind: 'mayHaveRun', cause, detail}});
	}
}

function unreachableDetail(pending: PendingClaim): string {
	return `this copy was not started; zone ${pending.home}, which knows whether another copy was, can't be asked`;
}
