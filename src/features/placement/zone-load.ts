/** How busy a zone is. */
import type {AvailabilityZone} from '../../base/availability-zone.js';

/** As the zone's arbiter told it at a monotonic time. */
export type ZoneLoad = {
	readonly zone: AvailabilityZone;
	readonly freeSlots: number;
	readonly waitMilliseconds: number;
	readonly toldAt: number;
};
