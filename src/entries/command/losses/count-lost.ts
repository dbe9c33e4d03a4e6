/** How many jobs of a slice were not answered in time. */
import type {SliceLosses} from './slice-losses.js';

/** All but those in time. */
export function countLost({counts}: SliceLosses): number {
	return counts.late + counts.refused + counts.givenUp + counts.unanswered;
}
