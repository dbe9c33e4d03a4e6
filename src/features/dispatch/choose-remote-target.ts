/** The choice among other entries' targets. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Random} from '../../base/random.js';
import {satisfiesConstraints} from '../execution/satisfies-constraints.js';
import type {RunRequest} from '../execution/run-request.js';
import type {RemoteTarget} from './remote-target.js';

/** With fewer choices in the own zone, entries that see the same picture send to the same target too often. */
const enoughChoices = 8;

/**
 * Picks one of all targets with room at random: entries that see the same picture would otherwise all send to the same
 * target, and all but one be refused. Where the own zone offers enough of them it's one of those: within a large fleet that
 * keeps payloads, and the heartbeats of entries that run something for each other, from crossing between zones.
 */
export function chooseRemoteTarget(open: readonly RemoteTarget[], request: RunRequest, zone: AvailabilityZone, random: Random): RemoteTarget | undefined {
	const fitting = open.filter(({target: share}) => suits(share, request));
	const near = fitting.filter(({member}) => member.member.zone === zone);
	const choices = near.length >= enoughChoices ? near : fitting;
	return choices.length === 0 ? undefined : choices[random.below(choices.length)];
}

function suits(share: RemoteTarget['target'], request: RunRequest): boolean {
	return share.service === request.service
		&& satisfiesConstraints(request, share.labels)
		&& request.need.fitsInto(share.room);
}
