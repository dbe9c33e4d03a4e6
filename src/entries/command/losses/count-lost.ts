/** Counts the lost jobs of a slice. */
import type {SliceLosses} from './slice-losses.js';

/** The number of jobs that were not answered in time. */
export function countLost({counts}: SliceLosses): number {
	return counts.late + counts.refused + counts.givenUp + counts.unanswered;
}
