/** The choice among other entries' targets. */
import type {Random} from '../../base/random.js';
import type {RunRequest} from '../execution/run-request.js';
import type {OpenShare} from './open-share.js';

/**
 * Picks one of all targets with room at random: entries that see the same picture would otherwise all send to the same
 * target, and all but one be refused.
 */
export function chooseShare(open: readonly OpenShare[], request: RunRequest, random: Random): OpenShare | undefined {
	const fitting = open.filter(({share}) => suits(share, request));
	return fitting.length === 0 ? undefined : fitting[random.below(fitting.length)];
}

function suits(share: OpenShare['share'], request: RunRequest): boolean {
	return share.service === request.service
		&& (request.label === undefined || share.labels.includes(request.label))
		&& request.need.fitsInto(share.room);
}
