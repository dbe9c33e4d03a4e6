/** The verdicts of an entry's submissions on their way to a registrar of the home zone. */
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

const askAgainMilliseconds = 500;
/** After an answer that decides nothing. */
const pauseMilliseconds = 100;
const patienceMilliseconds = 30_000;

type Settlement = {
	readonly submission: Pick<Submission, 'id' | 'fingerprint'>;
	readonly nonce: string;
	readonly verdict: Verdict<JobAnswer>;
	readonly until: number;
	askAgainAt: number;
	tries: number;
	redirect: MemberId | undefined;
};

type SettlementsParts = {
	readonly zones: readonly AvailabilityZone[];
	readonly clock: Clock;
	readonly membersOf: (zone: AvailabilityZone) => readonly Member[];
	readonly send: (to: MemberId, message: RegistryMessage) => void;
};

/** Sends each to one registrar after the other until it's taken. */
export class Settlements {
	readonly #open = new Map<string, Settlement>();

	constructor(private readonly parts: SettlementsParts) {}

	get size(): number {
		return this.#open.size;
	}

	has(nonce: string): boolean {
		return this.#open.has(nonce);
	}

	add(submission: Settlement['submission'], nonce: string, verdict: Verdict<JobAnswer>): void {
		const now = this.parts.clock.now();
		const settlement: Settlement = {
			submission, nonce, verdict, until: now + patienceMilliseconds, askAgainAt: now, tries: 0, redirect: undefined,
		};
		this.#open.set(nonce, settlement);
		this.#send(settlement);
	}

	taken(nonce: string): void {
		this.#open.delete(nonce);
	}

	/** The registrar that was asked can't decide; another one may be able to. */
	redirected(nonce: string, to: MemberId | undefined): void {
		const settlement = this.#open.get(nonce);
		if (settlement !== undefined) {
			settlement.redirect = to;
			settlement.askAgainAt = this.parts.clock.now() + pauseMilliseconds;
		}
	}

	tick(): void {
		const now = this.parts.clock.now();
		for (const settlement of this.#open.values()) {
			if (now > settlement.until) {
				this.#open.delete(settlement.nonce);
			} else if (now >= settlement.askAgainAt) {
				this.#send(settlement);
			}
		}
	}

	#send(settlement: Settlement): void {
		const {zones, clock, membersOf, send} = this.parts;
		const {submission: {id, fingerprint}, nonce, verdict} = settlement;
		const ranked = rankByKey(id, membersOf(homeZoneOf(id, zones)), member => member.instance);
		const to = settlement.redirect ?? ranked[settlement.tries % Math.max(1, ranked.length)]?.id;
		settlement.tries += 1;
		settlement.redirect = undefined;
		settlement.askAgainAt = clock.now() + askAgainMilliseconds;
		if (to !== undefined) {
			send(to, {
				kind: 'settle', id, fingerprint, nonce, verdict,
			});
		}
	}
}
