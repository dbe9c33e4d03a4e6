/** Determines whether an id without a record may have been granted before. */
import type {Clock} from '../../base/clock.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {GroupJoin} from './group-join.js';
import type {GroupView} from './group-view.js';
import {creationTimeOf} from './creation-time-of.js';

/** Tolerated difference between the local clock and the clocks of those who create ids. */
const clockSkewMilliseconds = 1000;

/** Tracks the time range for which the records may be incomplete. */
export class RecordCoverage {
	constructor(
		private readonly view: GroupView,
		private readonly groupJoin: GroupJoin,
		private readonly clock: Clock,
		private readonly retentionMilliseconds: number,
	) {}

	/** Returns a `mayHaveRun` verdict if an id without a record may have been granted, or else undefined. */
	uncertaintyOf(id: SubmissionId): Verdict<JobAnswer> | undefined {
		const createdAt = creationTimeOf(id) ?? Number.NEGATIVE_INFINITY;
		const unknownBefore = Math.max(this.groupJoin.coverageStart, this.view.possibleLossAt(id) ?? 0);
		const oldest = this.clock.wallTime() - this.retentionMilliseconds;
		// A loss older than the retention time doesn't matter, because its records would have expired.
		if (createdAt <= unknownBefore + clockSkewMilliseconds && unknownBefore > oldest) {
			return {kind: 'mayHaveRun', cause: 'cannotVouch', detail: 'the records that would tell whether the submission was run before are lost'};
		}

		if (Number.isFinite(createdAt) && createdAt < oldest) {
			return {kind: 'mayHaveRun', cause: 'cannotVouch', detail: 'the id is older than what is remembered'};
		}

		return undefined;
	}
}
