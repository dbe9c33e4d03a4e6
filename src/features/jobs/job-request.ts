/** A job as a caller asks for it. */
import type {ProfileName} from '../../base/profile-name.js';
import type {SubmissionId} from '../../base/submission-id.js';
import type {TaskSpecification} from '../../base/task-specification.js';

/** Already checked for its shape. */
export type JobRequest = {
	readonly id: SubmissionId;
	readonly profile: ProfileName;
	readonly tasks: readonly TaskSpecification[];
	/** From the receipt on; the profile's own deadline where absent. */
	readonly deadlineMilliseconds?: number;
};
