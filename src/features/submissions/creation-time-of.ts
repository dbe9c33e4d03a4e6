/** When a submission's id was made. */
import type {SubmissionId} from '../../base/submission-id.js';

const uuidVersion7 = /^(?:[\w.\-]+~)?(?<time>[0-9a-f]{8}-[0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/iv;

/** Milliseconds since the epoch by its maker's clock, which a version 7 UUID carries; other ids tell nothing. */
export function creationTimeOf(id: SubmissionId): number | undefined {
	const time = uuidVersion7.exec(id)?.groups?.time;
	return time === undefined ? undefined : Number.parseInt(time.replace('-', ''), 16);
}
