/** What a task's distance to its data costs. */
import {isNearData} from './is-near-data.js';
import type {PlacementConstraints} from './placement-constraints.js';

/** So many times as long as near its data a task takes on a target with these labels. */
export function slowdownOf(place: PlacementConstraints, labels: readonly string[]): number {
	return isNearData(place, labels) ? 1 : place.farFactor;
}
