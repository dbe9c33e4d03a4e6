/** A job that an entry runs. */
import type {SubmissionId} from '../../base/submission-id.js';
import type {TaskSpecification} from '../../base/task-specification.js';
import type {ProfileRevision} from '../profiles/profile-revision.js';

/** Treated from start to end by the profile revision that was in force when it came. */
export type Job = {
	readonly id: SubmissionId;
	readonly revision: ProfileRevision;
	readonly tasks: readonly TaskSpecification[];
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
};
