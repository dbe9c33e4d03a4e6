/** Whether a target is where a task's data is. */
import type {PlacementConstraints} from './placement-constraints.js';

/** By the target's labels; without data to be near to, every target is. */
export function isNearData({nearLabel}: PlacementConstraints, labels: readonly string[]): boolean {
	return nearLabel === undefined || labels.includes(nearLabel);
}
