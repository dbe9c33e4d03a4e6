/** Requirements of the tasks of a job. */
import type {Resources} from '../../base/resources.js';
import type {PlacementConstraints} from '../execution/placement-constraints.js';

/** `count` identical tasks; `declaredMilliseconds` is the submitter's estimate for one of them. */
export type TaskShape = {
	readonly count: number;
	readonly need: Resources;
	readonly declaredMilliseconds: number;
	readonly place: PlacementConstraints;
};
