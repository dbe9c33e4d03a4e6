/** Chooses a remote target for a task. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Random} from '../../base/random.js';
import type {RunRequest} from '../execution/run-request.js';
import {canRun} from './can-run.js';
import type {RemoteTarget} from './remote-target.js';

/** Below this number of candidates in the zone, entries would pick the same target too often. */
const minimumZoneChoices = 8;

/**
 * Picks a target with enough free capacity at random, so that entries with the same view don't all send to one target and
 * get refused. Prefers this zone when it has enough candidates, which reduces payload and heartbeat traffic between zones.
 */
export function chooseRemoteTarget(available: readonly RemoteTarget[], request: RunRequest, zone: AvailabilityZone, random: Random): RemoteTarget | undefined {
	const eligible: RemoteTarget[] = [];
	const sameZone: RemoteTarget[] = [];
	for (const choice of available) {
		if (canRun(choice, request)) {
			eligible.push(choice);
			if (choice.member.member.zone === zone) {
				sameZone.push(choice);
			}
		}
	}

	const choices = sameZone.length >= minimumZoneChoices ? sameZone : eligible;
	return choices.length === 0 ? undefined : choices[random.below(choices.length)];
}
