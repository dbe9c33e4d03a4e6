/** A validated job. */
import type {SubmissionId} from '../../base/submission-id.js';
import type {TaskSpecification} from '../../base/task-specification.js';
import type {ProfileRevision} from '../profiles/profile-revision.js';

/** Uses the profile revision that was current at receipt until it ends. */
export type Job = {
	readonly id: SubmissionId;
	readonly revision: ProfileRevision;
	readonly tasks: readonly TaskSpecification[];
	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
};
