/** The tasks of one step. */
import type {Resources} from '../../base/resources.js';
import type {PlacementConstraints} from '../execution/placement-constraints.js';

/** `count` tasks that need the same; the time is the submitter's estimate for each. */
export type TaskShape = {
	readonly count: number;
	readonly need: Resources;
	readonly declaredMilliseconds: number;
	readonly place: PlacementConstraints;
};
