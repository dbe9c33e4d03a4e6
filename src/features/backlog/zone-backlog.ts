/** The sum of the figures of a zone. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {ServiceBacklog} from './service-backlog.js';

/** `ageMilliseconds` is the time since an entry of the zone computed the sum. */
export type ZoneBacklog = {
	readonly zone: AvailabilityZone;
	readonly ageMilliseconds: number;
	readonly services: readonly ServiceBacklog[];
};
