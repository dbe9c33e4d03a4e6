/** Whether it's certain that an id without a record was never granted. */
import type {Clock} from '../../base/clock.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {CircleEntry} from './circle-entry.js';
import type {CircleView} from './circle-view.js';
import {creationTimeOf} from './creation-time-of.js';

/** The clocks of those who make ids may differ from ours by so much. */
const clockSkewMilliseconds = 1000;

/** Knows what was lost, and from when on ids are known to be new. */
export class Vouching {
	constructor(
		private readonly view: CircleView,
		private readonly entry: CircleEntry,
		private readonly clock: Clock,
		private readonly retentionMilliseconds: number,
	) {}

	/** The doubt about an id without a record, if there is one. */
	doubtOf(id: SubmissionId): Verdict<JobAnswer> | undefined {
		const createdAt = creationTimeOf(id) ?? Number.NEGATIVE_INFINITY;
		const unknownBefore = Math.max(this.entry.vouchFrom, this.view.lostAt(id) ?? 0);
		const oldest = this.clock.wallTime() - this.retentionMilliseconds;
		// What was granted longer ago than records are kept would be forgotten in any case.
		if (createdAt <= unknownBefore + clockSkewMilliseconds && unknownBefore > oldest) {
			return {kind: 'mayHaveRun', cause: 'cannotVouch', detail: 'the records that would tell whether the submission was run before are lost'};
		}

		if (Number.isFinite(createdAt) && createdAt < oldest) {
			return {kind: 'mayHaveRun', cause: 'cannotVouch', detail: 'the id is older than what is remembered'};
		}

		return undefined;
	}
}
