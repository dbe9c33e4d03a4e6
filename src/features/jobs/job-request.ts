/** A caller's request to run a job. */
import type {ProfileName} from '../../base/profile-name.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {TaskSpecification} from '../../base/task-specification.js';

/** A request that has passed schema validation. */
export type JobRequest = {
	readonly id: SubmissionId;
	readonly profile: ProfileName;
	readonly tasks: readonly TaskSpecification[];
	/** In milliseconds from receipt; defaults to the profile's deadline. */
	readonly deadlineMilliseconds?: number;
};
