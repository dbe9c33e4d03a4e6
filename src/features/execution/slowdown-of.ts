/** What a task's distance to its data costs. */
import {isNear} from './is-near.js';
import type {TaskPlace} from './task-place.js';

/** So many times as long as near its data a task takes on a target with these labels. */
export function slowdownOf(place: TaskPlace, labels: readonly string[]): number {
	return isNear(place, labels) ? 1 : place.farFactor;
}
