/** Settlements of an entry's submissions that no registrar has acknowledged yet. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {Verdict} from '../../base/verdict.js';
import type {Member} from '../../runtime/peers/member.js';
import {homeZoneOf} from './home-zone-of.js';
import type {RegistryMessage} from './registry-message.js';
import type {Submission} from './submission.js';

const retryIntervalMilliseconds = 500;
/** Delay before a retry after a redirect. */
const redirectDelayMilliseconds = 100;
const retryPeriodMilliseconds = 30_000;

type Settlement = {
	readonly submission: Pick<Submission, 'id' | 'fingerprint'>;
	readonly nonce: string;
	readonly verdict: Verdict<JobAnswer>;
	readonly givesUpAt: number;
	retryAt: number;
	attempts: number;
	redirect: MemberId | undefined;
};

type PendingSettlementsParts = {
	readonly zones: readonly AvailabilityZone[];
	readonly clock: Clock;
	readonly membersOf: (zone: AvailabilityZone) => readonly Member[];
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Sends each settlement to the registrars in turn until one acknowledges it or the retry period ends. */
export class PendingSettlements {
	readonly #pending = new Map<string, Settlement>();

	constructor(private readonly parts: PendingSettlementsParts) {}

	get size(): number {
		return this.#pending.size;
	}

	has(nonce: string): boolean {
		return this.#pending.has(nonce);
	}

	add(submission: Settlement['submission'], nonce: string, verdict: Verdict<JobAnswer>): void {
		const now = this.parts.clock.now();
		const settlement: Settlement = {
			submission, nonce, verdict, givesUpAt: now + retryPeriodMilliseconds, retryAt: now, attempts: 0, redirect: undefined,
		};
		this.#pending.set(nonce, settlement);
		this.#send(settlement);
	}

	acknowledge(nonce: string): void {
		this.#pending.delete(nonce);
	}

	/** Redirects to another registrar, because the one that was asked isn't the primary. */
	redirected(nonce: string, to: MemberId | undefined): void {
		const settlement = this.#pending.get(nonce);
		if (settlement !== undefined) {
			settlement.redirect = to;
			settlement.retryAt = this.parts.clock.now() + redirectDelayMilliseconds;
		}
	}

	tick(): void {
		const now = this.parts.clock.now();
		for (const settlement of this.#pending.values()) {
			if (now > settlement.givesUpAt) {
				this.#pending.delete(settlement.nonce);
			} else if (now >= settlement.retryAt) {
				this.#send(settlement);
			}
		}
	}

	#send(settlement: Settlement): void {
		const {zones, clock, membersOf, send} = this.parts;
		const {submission: {id, fingerprint}, nonce, verdict} = settlement;
		const ranked = rankByKey(id, membersOf(homeZoneOf(id, zones)), member => member.instance);
		const to = settlement.redirect ?? ranked[settlement.attempts % Math.max(1, ranked.length)]?.id;
		settlement.attempts += 1;
		settlement.redirect = undefined;
		settlement.retryAt = clock.now() + retryIntervalMilliseconds;
		if (to !== undefined) {
			send(to, {
				kind: 'settle', id, fingerprint, nonce, verdict,
			});
		}
	}
}
