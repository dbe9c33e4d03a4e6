/** All events that the daemon can log; docs/EVENTS.md is generated from this list. */
import {configurationEvents} from './events/configuration-events.js';
import {jobEvents} from './events/job-events.js';
import {membershipEvents} from './events/membership-events.js';
import {ownershipEvents} from './events/ownership-events.js';
import {placementEvents} from './events/placement-events.js';
import {pooledJobEvents} from './events/pooled-job-events.js';
import {processEvents} from './events/process-events.js';
import {submissionEvents} from './events/submission-events.js';

/** Event descriptions by name. Each group of events has its own hundred of numbers and its own file. */
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
