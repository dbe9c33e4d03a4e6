/** Whether a target is where a task's data is. */
import type {TaskPlace} from './task-place.js';

/** By the target's labels; without data to be near to, every target is. */
export function isNear({nearLabel}: TaskPlace, labels: readonly string[]): boolean {
	return nearLabel === undefined || labels.includes(nearLabel);
}
