/** Selects the zone that keeps the record of a submission. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {SubmissionId} from '../../base/submission-id.js';

/**
 * Returns the zone that prefixes the id, separated by `~`, or else one selected by rendezvous hashing. All entries select
 * the same zone, so that duplicates of a submission are detected wherever they arrive.
 */
export function homeZoneOf(id: SubmissionId, zones: readonly AvailabilityZone[]): AvailabilityZone {
	const named = zones.find(zone => id.startsWith(`${zone}~`));
	return named ?? rankByKey(id, zones, zone => zone)[0]!;
}
