/** Derives the version of a record from its state. */
import type {SubmissionRecord} from './submission-record.js';

/** 0 for running and 1 for settled records. Version 2, released, isn't stored. */
export function recordVersionOf(record: SubmissionRecord): number {
	return record.verdict === undefined ? 0 : 1;
}
