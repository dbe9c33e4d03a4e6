/** The cost of running a task far from its data. */
import {isNearData} from './is-near-data.js';
import type {PlacementConstraints} from './placement-constraints.js';

/** Returns the factor by which a task takes longer on a target with these labels than near its data. */
export function slowdownOf(place: PlacementConstraints, labels: readonly string[]): number {
	return isNearData(place, labels) ? 1 : place.farFactor;
}
