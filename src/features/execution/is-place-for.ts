/** Whether a target is of the kind that a task may run on. */
import {isNear} from './is-near.js';
import type {RunRequest} from './run-request.js';

/** By the target's labels alone; room, health and what else runs there are looked at elsewhere. */
export function isPlaceFor({place, isNearOnly}: Pick<RunRequest, 'place' | 'isNearOnly'>, labels: readonly string[]): boolean {
	const isLabelled = place.label === undefined || labels.includes(place.label);
	return isLabelled && (!isNearOnly || isNear(place, labels));
}
