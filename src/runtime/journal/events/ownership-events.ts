/** Who owns a target, and what its owner runs there: numbers from 700. */
import type {EventDescription} from '../event-description.js';

/** A part of the event catalogue. */
export const ownershipEvents = {
	claimChanged: {
		number: 700, level: 'notice', meaning: 'The group gave this entry other partitions', fields: ['group', 'generation', 'partitions', 'lost'],
	},
	groupAway: {
		number: 701, level: 'warning', meaning: 'The group can\'t be asked; the claim stays until a target rejects its token', fields: ['group', 'generation'],
	},
	groupBack: {
		number: 702, level: 'notice', meaning: 'The group answers again', fields: ['group', 'generation'],
	},
	groupLeft: {
		number: 703, level: 'notice', meaning: 'This entry gave up its partitions', fields: ['group', 'generation'],
	},
	zoneCovered: {
		number: 704, level: 'notice', meaning: 'This entry joins, or leaves, the group of another zone that has no entry of its own', fields: ['zone', 'isCovered', 'holders'],
	},
	targetOwned: {
		number: 710, level: 'notice', meaning: 'This entry orders a target from now on', fields: ['target', 'fence', 'adopted'],
	},
	targetReleased: {
		number: 711, level: 'notice', meaning: 'A target was given up for the next owner, with what runs there', fields: ['target', 'fence', 'handedOver'],
	},
	targetDropped: {
		number: 712, level: 'notice', meaning: 'A target left the catalogue or this entry\'s partitions', fields: ['target'],
	},
	sessionEnded: {
		number: 713, level: 'warning', meaning: 'A target has met a newer owner, or its life is over', fields: ['target', 'kind', 'detail', 'fence', 'runs'],
	},
	targetSilent: {
		number: 714, level: 'warning', meaning: 'A target does not answer and gets no new tasks', fields: ['target', 'kind', 'detail', 'runs'],
	},
	targetAnswers: {
		number: 715, level: 'notice', meaning: 'A silent target answers again', fields: ['target', 'unanswered'],
	},
	strangerStopped: {
		number: 716, level: 'notice', meaning: 'A run of a former owner is stopped, since nobody handed it over', fields: ['target', 'task', 'attempt'],
	},
	targetRestarted: {
		number: 717,
		level: 'warning',
		meaning: 'A target started again under its id; what ran there before is gone',
		fields: ['target', 'incarnation', 'former', 'acknowledged', 'runs'],
	},
	runStarted: {
		number: 720, level: 'detail', meaning: 'A run is ordered from a target with this room left before it', fields: ['task', 'attempt', 'target', 'fence', 'roomCpuMillis', 'cpuMillis', 'requester'],
	},
	startRefused: {
		number: 721, level: 'detail', meaning: 'A target did not take a start', fields: ['target', 'task', 'attempt', 'kind', 'detail'],
	},
	runStopped: {
		number: 722, level: 'detail', meaning: 'A run is told to stop', fields: ['target', 'task', 'attempt', 'cause'],
	},
	runEnded: {
		number: 723, level: 'detail', meaning: 'A run has ended, or provably never began', fields: ['task', 'attempt', 'target', 'outcome', 'cause', 'ranMilliseconds'],
	},
	targetOverdue: {
		number: 724,
		level: 'warning',
		meaning: 'Runs take much longer than expected; they are stopped and begun elsewhere, and the target is taken out for a while',
		fields: ['target', 'runs', 'ranMilliseconds', 'expectedMilliseconds'],
	},
	runRefused: {
		number: 725, level: 'detail', meaning: 'Another entry asked for a run, and no target here has room for it', fields: ['task', 'attempt', 'requester'],
	},
	requestOutdated: {
		number: 729, level: 'detail', meaning: 'Another entry asked for a run in a former epoch: it was lost here since, or this entry stood still', fields: ['task', 'attempt', 'requester'],
	},
	taskBarred: {
		number: 726, level: 'warning', meaning: 'A task was lost with several targets: it\'s started no more, or not before it\'s known what became of them', fields: ['task', 'condition', 'targets'],
	},
	formerLifeEnded: {
		number: 727, level: 'notice', meaning: 'This entry took the place of a former life of its own out of a group', fields: ['group', 'holder'],
	},
	runFound: {
		number: 728, level: 'detail', meaning: 'A start without an answer was carried out; the run goes on', fields: ['target', 'task', 'attempt'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
