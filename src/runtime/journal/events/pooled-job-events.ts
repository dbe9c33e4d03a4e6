/** Events of jobs that run on pooled capacity; numbers from 800. */
import type {EventDescription} from '../event-description.js';

/** Submission, distribution and verdicts of pooled jobs. */
export const pooledJobEvents = {
	jobAccepted: {
		number: 800,
		level: 'detail',
		meaning: 'A job was accepted and waits for capacity',
		fields: ['job', 'queue', 'tasks', 'expectedMilliseconds', 'objectiveMilliseconds', 'patienceMilliseconds', 'ageMilliseconds', 'isResubmitted', 'isBeforeRoom'],
	},
	taskSent: {
		number: 801, level: 'detail', meaning: 'A task is sent to another entry\'s targets', fields: ['task', 'attempt', 'owner', 'heardAgoMilliseconds'],
	},
	jobEnded: {
		number: 802, level: 'detail', meaning: 'A job completed with a verdict', fields: ['job', 'queue', 'verdict', 'detail', 'tookMilliseconds', 'expectedMilliseconds'],
	},
	jobUnreadable: {
		number: 803, level: 'notice', meaning: 'A job could not be decoded and was not run', fields: ['job', 'queue', 'detail'],
	},
	callerUnreadable: {
		number: 804, level: 'notice', meaning: 'A caller sent an invalid HTTP request; its connection was closed', fields: ['detail'],
	},
	callerGone: {
		number: 805, level: 'detail', meaning: 'A caller\'s connection was lost', fields: ['detail'],
	},
	jobRejoined: {
		number: 806, level: 'detail', meaning: 'A job was resubmitted while it is running here; the latest caller gets the answer', fields: ['job', 'startedTasks'],
	},
	jobForecastLate: {
		number: 807,
		level: 'detail',
		meaning: 'A job was refused at its arrival: by the backlog of the fleet, its last task would start too late',
		fields: [
			'job',
			'queue',
			'tasks',
			'cpuMillis',
			'leftMilliseconds',
			'waitMilliseconds',
			'scale',
			'tasksBefore',
			'coreMillisecondsBefore',
			'totalCpuMillis',
			'endedTasks',
			'zones',
			'oldestFigureMilliseconds',
			'retryAfterMilliseconds',
		],
	},
	taskResent: {
		number: 811, level: 'detail', meaning: 'The request for a current run is sent again, since its connection was lost', fields: ['task', 'attempt', 'owner'],
	},
	forecastRefuted: {
		number: 808, level: 'notice', meaning: 'There was capacity in time for a job that was refused at its arrival; the forecast is corrected', fields: ['job', 'queue', 'scale'],
	},
	jobYielded: {
		number: 809, level: 'detail', meaning: 'A running job was given up because another entry has a later submission of it', fields: ['job', 'claimant'],
	},
	jobReleased: {
		number: 810,
		level: 'detail',
		meaning: 'A resubmitted job may start: its former submissions were given up, or the entries that did not answer in time are not waited for',
		fields: ['job', 'mayHaveRun', 'waitedMilliseconds', 'unansweredPeers'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
