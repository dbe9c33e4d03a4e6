/** Reads the id of a submission. */
import type {SubmissionId} from '../../base/submission-id.js';

/** Letters, digits, `.`, `_`, `-`, and one `~` behind a zone's name; 128 characters at most. */
const idPattern = /^(?:[\w.\-]{1,64}~)?[\w.\-]{1,128}$/v;

/** The id of an Idempotency-Key header, in quotes or without; nothing where it isn't one. */
export function submissionIdOf(header: string): SubmissionId | undefined {
	const unquoted = header.startsWith('"') && header.endsWith('"') && header.length > 1 ? header.slice(1, -1) : header;
	return idPattern.test(unquoted) ? unquoted as SubmissionId : undefined;
}
