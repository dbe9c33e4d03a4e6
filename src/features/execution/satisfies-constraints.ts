/** Match of a target's labels against a run's constraints. */
import {isNearData} from './is-near-data.js';
import type {RunRequest} from './run-request.js';

/** Whether the target's labels allow the run; free capacity, health and other runs are checked elsewhere. */
export function satisfiesConstraints({place, requiresNearData}: Pick<RunRequest, 'place' | 'requiresNearData'>, labels: readonly string[]): boolean {
	const hasLabel = place.label === undefined || labels.includes(place.label);
	return hasLabel && (!requiresNearData || isNearData(place, labels));
}
