/** Placement constraints for tests. */
import type {PlacementConstraints} from '../../src/features/execution/placement-constraints.js';

/** Allows a task to run on any target. */
export const unconstrainedPlacement: PlacementConstraints = {
	label: undefined, nearLabel: undefined, farFactor: 1, maxTasksPerTarget: undefined,
};
