/** The container's name for this entry's part in the registry. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {SubmissionRegistry} from './submission-registry.js';

/** Provided by the submissions feature; for status and shutdown. */
export const submissionRegistryKey = new ServiceKey<SubmissionRegistry>('submission-registry');
