/** Branded type of a job id. */
import type {Brand} from './brand.js';

/** Identifier of a job, chosen by the submitter and reused for resubmissions. */
export type JobId = Brand<string, 'JobId'>;
