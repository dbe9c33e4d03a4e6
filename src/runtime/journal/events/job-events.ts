/** Events of jobs that run on slots; numbers from 500. */
import type {EventDescription} from '../event-description.js';

/** Starts, ends and retries of tasks, and verdicts of jobs. */
export const jobEvents = {
	taskStarted: {
		number: 500, level: 'detail', meaning: 'A task is sent to its target', fields: ['task', 'target', 'attempt', 'profile', 'variant'],
	},
	taskEnded: {
		number: 501, level: 'detail', meaning: 'A task ended', fields: ['task', 'target', 'verdict', 'milliseconds'],
	},
	taskRetried: {
		number: 502, level: 'detail', meaning: 'A task that is known not to have run is retried', fields: ['task', 'attempt', 'refusedBy'],
	},
	jobSpilled: {
		number: 503, level: 'detail', meaning: 'A job was forwarded to another zone', fields: ['job', 'from', 'to', 'cause'],
	},
	jobConcluded: {
		number: 504, level: 'detail', meaning: 'A job completed with a verdict', fields: ['job', 'profile', 'tasks', 'verdict', 'cause', 'milliseconds'],
	},
	trialStopped: {
		number: 505,
		level: 'alarm',
		meaning: 'A variant exceeded the limits of its guard; its traffic is routed to the base',
		fields: ['profile', 'revision', 'label', 'cause', 'variantFailureShare', 'baseFailureShare', 'variantMilliseconds', 'baseMilliseconds'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
