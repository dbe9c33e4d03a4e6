/** Converts a record to the form sent to other registrars. */
import type {RecordCopy} from './record-copy.js';
import {recordVersionOf} from './record-version-of.js';
import type {SubmissionRecord} from './submission-record.js';

/** Returns a copy of the record; `now` is the local monotonic time in milliseconds. */
export function recordCopyOf(record: SubmissionRecord, now: number, version = recordVersionOf(record)): RecordCopy {
	const {id, fingerprint, executor, nonce, verdict, expiresAt} = record;
	return {
		id, fingerprint, executor, nonce, verdict, version, remainingMilliseconds: expiresAt - now,
	};
}
