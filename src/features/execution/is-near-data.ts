/** Proximity of a target to a task's data. */
import type {PlacementConstraints} from './placement-constraints.js';

/** Whether a target with these labels is near the task's data; always true without `nearLabel`. */
export function isNearData({nearLabel}: PlacementConstraints, labels: readonly string[]): boolean {
	return nearLabel === undefined || labels.includes(nearLabel);
}
