/** The claims of an entry's submissions that aren't decided yet. */
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

type OpenClaimsParts = {
	readonly self: MemberId;
	readonly zones: readonly AvailabilityZone[];
	readonly clock: Clock;
	readonly journal: Journal;
	readonly membersOf: (zone: AvailabilityZone) => readonly Member[];
	readonly isSilent: (member: MemberId) => boolean;
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Asks the registrars of a submission's home zone in their rank until one decides, or the claim's time is over. */
export class OpenClaims {
	readonly #open = new Map<string, Open>();
	#claims = 0;

	constructor(private readonly parts: OpenClaimsParts) {}

	async claim(submission: Submission, token: CancellationToken): Promise<Claim> {
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

	submissionOf(nonce: string): Submission | undefined {
		return this.#open.get(nonce)?.submission;
	}

	/** A registrar has decided. */
	end(nonce: string, claim: Claim): void {
		this.#open.get(nonce)?.end(claim);
	}

	/** Another copy of the submission runs; its verdict will be told. */
	wait(nonce: string): void {
		const open = this.#open.get(nonce);
		if (open !== undefined) {
			open.isWaiting = true;
			open.askAgainAt = this.parts.clock.now() + waitingMilliseconds;
		}
	}

	/** The registrar that was asked can't decide; another one may be able to. */
	redirected(from: MemberId, nonce: string, to: MemberId | undefined): void {
		const open = this.#open.get(nonce);
		if (open?.askedMember !== from) {
			return;
		}

		open.askAgainAt = this.parts.clock.now() + pauseMilliseconds;
		open.askedMember = undefined;
		// Two registrars whose views differ may point at each other for a moment; following once is enough.
		if (to !== undefined && !open.isRedirected) {
			open.isRedirected = true;
			this.#askMember(open, to);
		} else {
			open.isRedirected = false;
		}
	}

	tick(): void {
		const now = this.parts.clock.now();
		for (const open of this.#open.values()) {
			this.#check(open, now);
		}
	}

	#check(open: Open, now: number): void {
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

		return members.some(({id}) => !this.#isDoubtful(id)) ? askingMilliseconds : silentMilliseconds;
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

	#doubt(open: Open, cause: UncertaintyCause, detail: string): void {
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
