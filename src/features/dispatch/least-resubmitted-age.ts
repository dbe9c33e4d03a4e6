/** The age of recognised resubmissions. */
import {resubmissionDelayMilliseconds} from './resubmission-delay.js';

/** A submission of this estimated age or more, in milliseconds, counts as a resubmission. */
export const leastResubmittedAgeMilliseconds = resubmissionDelayMilliseconds / 2;
