/** For tasks that may run anywhere. */
import type {PlacementConstraints} from '../../src/features/execution/placement-constraints.js';

export const anyPlace: PlacementConstraints = {
	label: undefined, nearLabel: undefined, farFactor: 1, maxTasksPerTarget: undefined,
};
