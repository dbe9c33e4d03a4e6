/** Asks the registrars of a submission's home zone. */
import {match} from 'ts-pattern';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import type {DoubtCause} from '../../base/doubt-cause.js';
import {Emitter} from '../../base/emitter.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {Member} from '../../runtime/peers/member.js';
import type {Claim} from './claim.js';
import {homeZoneOf} from './home-zone-of.js';
import type {RegistryMessage} from './registry-message.js';
import {SubmissionDesk} from './submission-desk.js';
import type {Submission} from './submission.js';

/** The owner calls `tick` this often. */
const tickMilliseconds = 100;
/** A registrar that hasn't answered for so long is passed over for the next one. */
const answerMilliseconds = 300;
/** After an answer that decides nothing. */
const pauseMilliseconds = 100;
/** A home zone of whom nobody gives a sign of life is tried for so long: by then a lost connection was dialled anew. */
const silentMilliseconds = 2000;
/** How long a home zone is tried before the caller gets its answer. */
const askingMilliseconds = 3000;
/** A claim that waits for another copy's verdict asks again, since the one that knows it waits may be gone. */
const waitingMilliseconds = 2000;
const settleAgainMilliseconds = 500;
const settlingMilliseconds = 30_000;

type Open = {
	readonly submission: Submission;
	readonly nonce: string;
	readonly home: AvailabilityZone;
	readonly startedAt: number;
	readonly end: (claim: Claim) => void;
	readonly unanswered: Set<MemberId>;
	askedMember: MemberId | undefined;
	askAgainAt: number;
	isWaiting: boolean;
	isRedirected: boolean;
};
type Settlement = {
	readonly submission: Pick<Submission, 'id' | 'fingerprint'>;
	readonly nonce: string;
	readonly verdict: Verdict<JobAnswer>;
	readonly until: number;
	askAgainAt: number;
	tries: number;
	redirect: MemberId | undefined;
};
type Reply = Extract<RegistryMessage, {kind: 'granted' | 'waiting' | 'concluded' | 'redirect' | 'settled' | 'cancelRequested'}>;

/** What the desk works with. */
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
export class RegistrySubmissionDesk extends SubmissionDesk {
	static readonly tickMilliseconds = tickMilliseconds;

	readonly #open = new Map<string, Open>();
	readonly #granted = new Map<string, Pick<Submission, 'id' | 'fingerprint'>>();
	readonly #settlements = new Map<string, Settlement>();
	readonly #requestCancel = new Emitter<SubmissionId>();
	#claims = 0;

	constructor(private readonly parts: RegistrySubmissionDeskParts) {
		super();
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
		this.#claims += 1;
		const nonce = `${this.parts.self}:${this.#claims}`;
		const now = this.parts.clock.now();
		return new Promise<Claim>(resolve => {
			const open: Open = {
				submission,
				nonce,
				home: homeZoneOf(submission.id, this.parts.zones),
				startedAt: now,
				unanswered: new Set(),
				askedMember: undefined,
				askAgainAt: now,
				isWaiting: false,
				isRedirected: false,
				end: claim => {
					registration.dispose();
					this.#open.delete(nonce);
					resolve(claim);
				},
			};
			this.#open.set(nonce, open);
			const registration = token.onDidRequestCancellation(() => {
				this.#doubt(open, 'waitExpired', 'the wait was cancelled');
			});
			this.#ask(open);
		});
	}

	override settle(id: SubmissionId, nonce: string, verdict: Verdict<JobAnswer>): void {
		const fingerprint = this.#granted.get(nonce)?.fingerprint ?? '';
		this.#granted.delete(nonce);
		const now = this.parts.clock.now();
		const settlement: Settlement = {
			submission: {id, fingerprint}, nonce, verdict, until: now + settlingMilliseconds, askAgainAt: now, tries: 0, redirect: undefined,
		};
		this.#settlements.set(nonce, settlement);
		this.#sendSettlement(settlement);
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
				this.#settlements.delete(nonce);
			})
			.with({kind: 'granted'}, ({id, nonce}) => {
				this.#takeGrant(id, nonce);
			})
			.with({kind: 'concluded'}, ({nonce, verdict}) => {
				this.#open.get(nonce)?.end({kind: 'concluded', verdict});
			})
			.with({kind: 'waiting'}, ({nonce}) => {
				this.#takeWaiting(nonce);
			})
			.with({kind: 'redirect'}, ({nonce, to}) => {
				this.#takeRedirect(from, nonce, to);
			})
			.exhaustive();
	}

	tick(): void {
		const now = this.parts.clock.now();
		for (const open of this.#open.values()) {
			this.#checkOpen(open, now);
		}

		for (const settlement of this.#settlements.values()) {
			if (now > settlement.until) {
				this.#settlements.delete(settlement.nonce);
			} else if (now >= settlement.askAgainAt) {
				this.#sendSettlement(settlement);
			}
		}
	}

	/** A grant that comes after the claim was given up is given back: nothing of it was run. */
	#takeGrant(id: SubmissionId, nonce: string): void {
		const open = this.#open.get(nonce);
		if (open !== undefined) {
			this.#granted.set(nonce, {id, fingerprint: open.submission.fingerprint});
			open.end({kind: 'granted', nonce});
		} else if (!this.#granted.has(nonce) && !this.#settlements.has(nonce)) {
			this.settle(id, nonce, {kind: 'notRun', cause: 'registryUnavailable', detail: 'the grant came too late'});
		}
	}

	#takeWaiting(nonce: string): void {
		const open = this.#open.get(nonce);
		if (open !== undefined) {
			open.isWaiting = true;
			open.askAgainAt = this.parts.clock.now() + waitingMilliseconds;
		}
	}

	#takeRedirect(from: MemberId, nonce: string, to: MemberId | undefined): void {
		const open = this.#open.get(nonce);
		const settlement = this.#settlements.get(nonce);
		const isUseful = to !== undefined && to !== from;
		if (open?.askedMember === from) {
			open.askAgainAt = this.parts.clock.now() + pauseMilliseconds;
			open.askedMember = undefined;
			// Two registrars whose views differ may point at each other for a moment; following once is enough.
			if (isUseful && !open.isRedirected) {
				open.isRedirected = true;
				this.#askMember(open, to);
			} else {
				open.isRedirected = false;
			}
		}

		if (settlement !== undefined) {
			settlement.redirect = isUseful ? to : undefined;
			settlement.askAgainAt = this.parts.clock.now() + pauseMilliseconds;
		}
	}

	#checkOpen(open: Open, now: number): void {
		if (now >= open.submission.deadlineAt) {
			this.#doubt(open, open.isWaiting ? 'waitExpired' : 'homeUnreachable', open.isWaiting ? 'another copy of the submission was still running at the deadline' : undecided(open));
			return;
		}

		if (now < open.askAgainAt) {
			return;
		}

		if (open.askedMember !== undefined && !open.isWaiting) {
			open.unanswered.add(open.askedMember);
		}

		if (!open.isWaiting && now - open.startedAt > this.#patienceFor(open)) {
			this.#doubt(open, 'homeUnreachable', undecided(open));
			return;
		}

		this.#ask(open);
	}

	/** Where nobody of the home zone is known, or all have fallen silent, waiting longer wouldn't help the caller. */
	#patienceFor(open: Open): number {
		const members = this.parts.membersOf(open.home);
		if (members.length === 0) {
			return 0;
		}

		const isReachable = members.some(member => member.id === this.parts.self || !this.parts.isSilent(member.id));
		return isReachable ? askingMilliseconds : silentMilliseconds;
	}

	#ask(open: Open): void {
		const ranked = rankByKey(open.submission.id, this.parts.membersOf(open.home), member => member.instance);
		const [next] = [
			...ranked.filter(({id}) => !open.unanswered.has(id) && !this.#isDoubtful(id)),
			...ranked.filter(({id}) => !open.unanswered.has(id)),
			...ranked,
		];
		if (next === undefined) {
			open.askAgainAt = this.parts.clock.now() + pauseMilliseconds;
			return;
		}

		if (open.unanswered.size >= ranked.length) {
			open.unanswered.clear();
		}

		this.#askMember(open, next.id);
	}

	#isDoubtful(id: MemberId): boolean {
		return id !== this.parts.self && this.parts.isSilent(id);
	}

	#askMember(open: Open, to: MemberId): void {
		const now = this.parts.clock.now();
		const {id, fingerprint, deadlineAt} = open.submission;
		open.askedMember = to;
		open.askAgainAt = now + answerMilliseconds;
		this.parts.send(to, {
			kind: 'claim', id, fingerprint, nonce: open.nonce, remainingMilliseconds: Math.max(0, deadlineAt - now),
		});
	}

	#sendSettlement(settlement: Settlement): void {
		const {submission, nonce, verdict} = settlement;
		const ranked = rankByKey(submission.id, this.parts.membersOf(homeZoneOf(submission.id, this.parts.zones)), member => member.instance);
		const to = settlement.redirect ?? ranked[settlement.tries % Math.max(1, ranked.length)]?.id;
		settlement.tries += 1;
		settlement.redirect = undefined;
		settlement.askAgainAt = this.parts.clock.now() + settleAgainMilliseconds;
		if (to !== undefined) {
			this.parts.send(to, {
				kind: 'settle', id: submission.id, fingerprint: submission.fingerprint, nonce, verdict,
			});
		}
	}

	#doubt(open: Open, cause: DoubtCause, detail: string): void {
		if (cause === 'homeUnreachable') {
			this.parts.journal.record('claimUndecided', {
				submission: open.submission.id, zone: open.home, milliseconds: Math.round(this.parts.clock.now() - open.startedAt),
			});
		}

		open.end({kind: 'concluded', verdict: {kind: 'mayHaveRun', cause, detail}});
	}
}

function undecided(open: Open): string {
	return `this copy was not started; zone ${open.home}, which knows whether another copy was, can't be asked`;
}
