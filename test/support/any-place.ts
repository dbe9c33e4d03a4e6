/** For tasks that may run anywhere. */
import type {TaskPlace} from '../../src/features/execution/task-place.js';

export const anyPlace: TaskPlace = {
	label: undefined, nearLabel: undefined, farFactor: 1, mostOnTarget: undefined,
};
