/** The branded type of a job id. */
import type {Brand} from './brand.js';

/** Identifier of a job, chosen by its submitter; the same job may be submitted again under it. */
export type JobId = Brand<string, 'JobId'>;
