/** Selects the zone of a job. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Random} from '../../base/random.js';

/** How long a zone is skipped after it refused a job. */
const refusalBackoffMilliseconds = 1000;

/**
 * Prefers the local zone. If that zone refuses a job, one other zone is tried, except zones with a recent refusal: under
 * global overload further requests would only add traffic.
 */
export class ZoneSelector {
	readonly #refusedAt = new Map<AvailabilityZone, number>();

	constructor(
		private readonly own: AvailabilityZone,
		private readonly zones: readonly AvailabilityZone[],
		private readonly clock: Clock,
		private readonly random: Random,
	) {}

	/** Excludes the zone for a while as a fallback. */
	recordRefusal(zone: AvailabilityZone): void {
		this.#refusedAt.set(zone, this.clock.now());
	}

	/** The next zone to try, or undefined if none is left. */
	next(tried: ReadonlySet<AvailabilityZone>): AvailabilityZone | undefined {
		if (!tried.has(this.own)) {
			return this.own;
		}

		const now = this.clock.now();
		const candidates = this.zones.filter(zone => !tried.has(zone) && now - (this.#refusedAt.get(zone) ?? Number.NEGATIVE_INFINITY) > refusalBackoffMilliseconds);
		return this.random.sample(candidates, 1)[0];
	}
}
