/** Service key of the submission registry. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {SubmissionRegistry} from './submission-registry.js';

/** Key of the service provided by the submissions feature; used for status and shutdown. */
export const submissionRegistryKey = new ServiceKey<SubmissionRegistry>('submission-registry');
