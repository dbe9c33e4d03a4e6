/** For tasks that may run anywhere. */
import type {PlacementConstraints} from '../../src/features/execution/placement-constraints.js';

export const unconstrainedPlacement: PlacementConstraints = {
	label: undefined, nearLabel: undefined, farFactor: 1, maxTasksPerTarget: undefined,
};
