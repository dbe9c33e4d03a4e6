/** Whether a target is of the kind that a task may run on. */
import {isNearData} from './is-near-data.js';
import type {RunRequest} from './run-request.js';

/** By the target's labels alone; room, health and what else runs there are looked at elsewhere. */
export function satisfiesConstraints({place, requiresNearData}: Pick<RunRequest, 'place' | 'requiresNearData'>, labels: readonly string[]): boolean {
	const isLabelled = place.label === undefined || labels.includes(place.label);
	return isLabelled && (!requiresNearData || isNearData(place, labels));
}
