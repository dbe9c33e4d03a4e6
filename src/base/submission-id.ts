/** Branded type of a submission id. */
import type {Brand} from './brand.js';

/** The caller's idempotency key for a job; docs/INTERFACES.md describes its grammar. */
export type SubmissionId = Brand<string, 'SubmissionId'>;
