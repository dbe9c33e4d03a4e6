/** The branded type of a submission id. */
import type {Brand} from './brand.js';

/** The caller's idempotency key of a job; see docs/INTERFACES.md for its grammar. */
export type SubmissionId = Brand<string, 'SubmissionId'>;
