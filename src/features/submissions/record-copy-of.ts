/** Makes a record ready for another registrar. */
import type {RecordCopy} from './record-copy.js';
import {recordVersionOf} from './record-version-of.js';
import type {SubmissionRecord} from './submission-record.js';

/** The copy of a record at a time of its registrar's clock. */
export function recordCopyOf(record: SubmissionRecord, now: number, version = recordVersionOf(record)): RecordCopy {
	const {id, fingerprint, executor, nonce, verdict, expiresAt} = record;
	return {
		id, fingerprint, executor, nonce, verdict, version, remainingMilliseconds: expiresAt - now,
	};
}
