/** Which version of a record another registrar is told. */
import type {SubmissionRecord} from './submission-record.js';

/** Of a record that is kept; one that was released isn't. */
export function recordVersionOf(record: SubmissionRecord): number {
	return record.verdict === undefined ? 0 : 1;
}
