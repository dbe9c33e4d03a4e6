/** The container's name for the registry of submissions. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {SubmissionDesk} from './submission-desk.js';

/** Provided by the submissions feature. */
export const submissionDeskKey = new ServiceKey<SubmissionDesk>('submission-desk');
