/** Jobs that run on shared room: numbers from 800. */
import type {EventDescription} from '../event-description.js';

/** A part of the event catalogue. */
export const pooledJobEvents = {
	jobAccepted: {
		number: 800,
		level: 'detail',
		meaning: 'A job waits for room',
		fields: ['job', 'queue', 'tasks', 'expectedMilliseconds', 'objectiveMilliseconds', 'patienceMilliseconds', 'ageMilliseconds', 'isResubmitted', 'isBeforeRoom'],
	},
	taskSent: {
		number: 801, level: 'detail', meaning: 'A task goes to another entry\'s targets', fields: ['task', 'attempt', 'owner', 'heardAgoMilliseconds'],
	},
	jobEnded: {
		number: 802, level: 'detail', meaning: 'A job has its verdict', fields: ['job', 'queue', 'verdict', 'detail', 'tookMilliseconds', 'expectedMilliseconds'],
	},
	jobUnreadable: {
		number: 803, level: 'notice', meaning: 'A job can\'t be read and does not run', fields: ['job', 'queue', 'detail'],
	},
	callerUnreadable: {
		number: 804, level: 'notice', meaning: 'A caller does not speak HTTP; its connection is closed', fields: ['detail'],
	},
	callerGone: {
		number: 805, level: 'detail', meaning: 'A caller\'s connection broke', fields: ['detail'],
	},
	jobRejoined: {
		number: 806, level: 'detail', meaning: 'A job was submitted again while it runs here; its latest submitter gets the answer', fields: ['job', 'startedTasks'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
