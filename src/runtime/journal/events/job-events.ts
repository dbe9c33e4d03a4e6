/** Jobs that run on slots: numbers from 500. */
import type {EventDescription} from '../event-description.js';

/** A part of the event catalogue. */
export const jobEvents = {
	taskStarted: {
		number: 500, level: 'detail', meaning: 'A task is sent to its target', fields: ['task', 'target', 'attempt', 'profile', 'variant'],
	},
	taskEnded: {
		number: 501, level: 'detail', meaning: 'A task ended', fields: ['task', 'target', 'verdict', 'milliseconds'],
	},
	taskRetried: {
		number: 502, level: 'detail', meaning: 'A task that provably didn\'t run is tried again', fields: ['task', 'attempt', 'refusedBy'],
	},
	jobSpilled: {
		number: 503, level: 'detail', meaning: 'A job goes to another zone', fields: ['job', 'from', 'to', 'cause'],
	},
	jobConcluded: {
		number: 504, level: 'detail', meaning: 'A job has its verdict', fields: ['job', 'profile', 'tasks', 'verdict', 'cause', 'milliseconds'],
	},
	trialStopped: {
		number: 505,
		level: 'alarm',
		meaning: 'A variant did worse than its guard allows; its traffic goes to the base',
		fields: ['profile', 'revision', 'label', 'cause', 'variantFailureShare', 'baseFailureShare', 'variantMilliseconds', 'baseMilliseconds'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
