/** Where a job goes that its own zone won't take. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Random} from '../../base/random.js';

/** A zone that refused a job isn't asked by another job for so long. */
const refusalMemoryMilliseconds = 1000;

/**
 * Work stays in its own zone unless that zone refuses it for want of slots or targets. Then one other zone is asked,
 * unless it lately refused as well: when all are full, asking around would only add messages.
 */
export class ZoneSelector {
	readonly #refusedAt = new Map<AvailabilityZone, number>();

	constructor(
		private readonly own: AvailabilityZone,
		private readonly zones: readonly AvailabilityZone[],
		private readonly clock: Clock,
		private readonly random: Random,
	) {}

	recordRefusal(zone: AvailabilityZone): void {
		this.#refusedAt.set(zone, this.clock.now());
	}

	/** A zone that wasn't tried yet for the job at hand. */
	next(tried: ReadonlySet<AvailabilityZone>): AvailabilityZone | undefined {
		if (!tried.has(this.own)) {
			return this.own;
		}

		const now = this.clock.now();
		const open = this.zones.filter(zone => !tried.has(zone) && now - (this.#refusedAt.get(zone) ?? Number.NEGATIVE_INFINITY) > refusalMemoryMilliseconds);
		return this.random.sample(open, 1)[0];
	}
}
