/** Extracts the creation time of a submission's id. */
import type {SubmissionId} from '../../base/submission-id.js';

const uuidVersion7 = /^(?:[\w.\-]+~)?(?<time>[0-9a-f]{8}-[0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/iv;

/**
 * Returns the timestamp of a version 7 UUID (RFC 9562) in milliseconds since the epoch, by its creator's clock, or
 * undefined for other ids.
 */
export function creationTimeOf(id: SubmissionId): number | undefined {
	const time = uuidVersion7.exec(id)?.groups?.time;
	return time === undefined ? undefined : Number.parseInt(time.replace('-', ''), 16);
}
