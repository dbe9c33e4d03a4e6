/** Which zone keeps the record of a submission. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {SubmissionId} from '../../base/submission-id.js';

/**
 * The zone that the id names before a `~`, or else one by hash. Every entry of every zone comes to the same one, so that
 * two copies of a submission meet wherever they arrive.
 */
export function homeZoneOf(id: SubmissionId, zones: readonly AvailabilityZone[]): AvailabilityZone {
	const named = zones.find(zone => id.startsWith(`${zone}~`));
	return named ?? rankByKey(id, zones, zone => zone)[0]!;
}
