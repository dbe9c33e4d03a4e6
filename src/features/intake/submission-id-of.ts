/** Parses submission ids. */
import type {SubmissionId} from '../../base/submission-id.js';

/** Up to 128 letters, digits, `.`, `_` or `-`, with an optional prefix of a zone name and `~`. */
const idPattern = /^(?:[\w.\-]{1,64}~)?[\w.\-]{1,128}$/v;

/** Parses a quoted or unquoted Idempotency-Key header; returns undefined if it is invalid. */
export function submissionIdOf(header: string): SubmissionId | undefined {
	const unquoted = header.startsWith('"') && header.endsWith('"') && header.length > 1 ? header.slice(1, -1) : header;
	return idPattern.test(unquoted) ? unquoted as SubmissionId : undefined;
}
