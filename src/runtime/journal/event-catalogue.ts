/** All events of the daemon; docs/EVENTS.md is checked against this list. */
import {configurationEvents} from './events/configuration-events.js';
import {jobEvents} from './events/job-events.js';
import {membershipEvents} from './events/membership-events.js';
import {ownershipEvents} from './events/ownership-events.js';
import {placementEvents} from './events/placement-events.js';
import {pooledJobEvents} from './events/pooled-job-events.js';
import {processEvents} from './events/process-events.js';
import {submissionEvents} from './events/submission-events.js';

/** Hundreds group the events by what they are about; each group has a file of its own. */
export const eventCatalogue = {
	...processEvents,
	...configurationEvents,
	...membershipEvents,
	...placementEvents,
	...jobEvents,
	...submissionEvents,
	...ownershipEvents,
	...pooledJobEvents,
};
