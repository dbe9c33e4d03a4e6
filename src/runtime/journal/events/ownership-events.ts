/** Events of target ownership and of the runs on owned targets; numbers from 700. */
import type {EventDescription} from '../event-description.js';

/** Changes of ownership, target sessions and their runs. */
export const ownershipEvents = {
	claimChanged: {
		number: 700, level: 'notice', meaning: 'The partitions assigned to this entry by its group changed', fields: ['group', 'generation', 'partitions', 'lost'],
	},
	groupAway: {
		number: 701, level: 'warning', meaning: 'The group is unreachable; the claim stays until a target rejects its fencing token', fields: ['group', 'generation'],
	},
	groupBack: {
		number: 702, level: 'notice', meaning: 'The group is reachable again', fields: ['group', 'generation'],
	},
	groupLeft: {
		number: 703, level: 'notice', meaning: 'This entry left its group and released its partitions', fields: ['group', 'generation'],
	},
	zoneCovered: {
		number: 704, level: 'notice', meaning: 'This entry joined or left the group of a zone without entries of its own', fields: ['zone', 'isCovered', 'holders'],
	},
	targetOwned: {
		number: 710, level: 'notice', meaning: 'This entry became the owner of a target', fields: ['target', 'fence', 'adopted'],
	},
	targetReleased: {
		number: 711, level: 'notice', meaning: 'A target and its runs were released to the next owner', fields: ['target', 'fence', 'handedOver'],
	},
	targetDropped: {
		number: 712, level: 'notice', meaning: 'A target was removed from the catalogue or from this entry\'s partitions', fields: ['target'],
	},
	sessionEnded: {
		number: 713, level: 'warning', meaning: 'The session with a target ended: a newer owner took over, or the target is gone', fields: ['target', 'kind', 'detail', 'fence', 'runs'],
	},
	targetSilent: {
		number: 714, level: 'warning', meaning: 'A target is not responding and gets no new tasks', fields: ['target', 'kind', 'detail', 'runs'],
	},
	targetAnswers: {
		number: 715, level: 'notice', meaning: 'An unresponsive target responds again', fields: ['target', 'unanswered'],
	},
	strangerStopped: {
		number: 716, level: 'notice', meaning: 'A previous owner\'s run that was not handed over is stopped', fields: ['target', 'task', 'attempt'],
	},
	targetRestarted: {
		number: 717,
		level: 'warning',
		meaning: 'A target restarted under the same id; its earlier runs are lost',
		fields: ['target', 'incarnation', 'former', 'acknowledged', 'runs'],
	},
	runStarted: {
		number: 720,
		level: 'detail',
		meaning: 'A run is started on a target; roomCpuMillis is the free CPU capacity before the start',
		fields: ['task', 'attempt', 'target', 'fence', 'roomCpuMillis', 'cpuMillis', 'requester'],
	},
	startRefused: {
		number: 721, level: 'detail', meaning: 'A target did not accept a start request', fields: ['target', 'task', 'attempt', 'kind', 'detail'],
	},
	runStopped: {
		number: 722, level: 'detail', meaning: 'A stop was requested for a run', fields: ['target', 'task', 'attempt', 'requester', 'cause'],
	},
	runEnded: {
		number: 723,
		level: 'detail',
		meaning: 'A run ended, or is known never to have started; stopMilliseconds is the time since its stop was requested',
		fields: ['task', 'attempt', 'target', 'outcome', 'cause', 'ranMilliseconds', 'stopMilliseconds'],
	},
	targetOverdue: {
		number: 724,
		level: 'warning',
		meaning: 'Runs take much longer than expected; they are restarted elsewhere, and the target is temporarily excluded',
		fields: ['target', 'runs', 'ranMilliseconds', 'expectedMilliseconds'],
	},
	runRefused: {
		number: 725, level: 'detail', meaning: 'A run requested by another entry was refused because no target here has capacity, or none on which it would be in time', fields: ['task', 'attempt', 'requester'],
	},
	requestOutdated: {
		number: 729,
		level: 'detail',
		meaning: 'A run request from a previous epoch was refused: its sender was declared lost since, or this entry was paused',
		fields: ['task', 'attempt', 'requester'],
	},
	runNotStarted: {
		number: 731,
		level: 'detail',
		meaning: 'A run request started nothing: it is repeated, its task runs or ran by another request, or its job was submitted again',
		fields: ['task', 'attempt', 'requester', 'cause'],
	},
	requestDelayed: {
		number: 732, level: 'detail', meaning: 'A run request was read long after it was sent', fields: ['task', 'attempt', 'requester', 'milliseconds'],
	},
	taskBarred: {
		number: 726, level: 'warning', meaning: 'A task was lost with several targets; it is not started again, or not until their state is known', fields: ['task', 'condition', 'targets'],
	},
	formerLifeEnded: {
		number: 727, level: 'notice', meaning: 'This entry removed its own previous incarnation from a group', fields: ['group', 'holder'],
	},
	targetSpeedChanged: {
		number: 730,
		level: 'notice',
		meaning: 'The slowdown of a target, its run times relative to the expected ones, changed by more than a quarter',
		fields: ['target', 'slowdown', 'formerSlowdown', 'samples'],
	},
	runFound: {
		number: 728, level: 'detail', meaning: 'A start without a response turned out to have succeeded; the run continues', fields: ['target', 'task', 'attempt'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
