/** All events of the daemon; docs/EVENTS.md is checked against this list. */
import type {EventDescription} from './event-description.js';

/** Hundreds group the events: 1 process, 2 configuration, 3 membership, 4 placement, 5 jobs, 6 submissions, 7 ownership of targets, 8 pooled jobs. */
export const eventCatalogue = {
	started: {
		number: 100, level: 'notice', meaning: 'The daemon listens', fields: ['instance', 'zone', 'httpPort', 'peerPort'],
	},
	draining: {
		number: 101, level: 'notice', meaning: 'The daemon was told to stop and refuses new jobs', fields: ['inFlight'],
	},
	stopped: {
		number: 102, level: 'notice', meaning: 'The daemon ends', fields: ['unfinished'],
	},
	configurationAdvanced: {
		number: 200, level: 'notice', meaning: 'Records were folded', fields: ['nextOffset', 'source'],
	},
	changeAccepted: {
		number: 201, level: 'notice', meaning: 'An operator\'s change is in force here', fields: ['offset', 'name', 'changeId', 'cause'],
	},
	changeRejected: {
		number: 202, level: 'notice', meaning: 'An operator\'s change was rejected', fields: ['offset', 'name', 'changeId', 'cause'],
	},
	recordSkipped: {
		number: 203, level: 'warning', meaning: 'A record of the configuration can\'t be read and has no effect', fields: ['offset', 'detail'],
	},
	newerRecordSkipped: {
		number: 204, level: 'alarm', meaning: 'A later version of the software wrote a record; it has no effect here', fields: ['offset', 'detail'],
	},
	logAway: {
		number: 205, level: 'warning', meaning: 'The log can\'t be read; the configuration in force stays', fields: ['detail'],
	},
	logFollowed: {
		number: 206, level: 'notice', meaning: 'The log is read again', fields: ['nextOffset'],
	},
	logDisagrees: {
		number: 207, level: 'alarm', meaning: 'The log ends earlier, or has other records, than what is in force; it isn\'t followed', fields: ['problem', 'nextOffset', 'detail'],
	},
	peerDisagrees: {
		number: 208, level: 'alarm', meaning: 'A peer has another configuration at the same offset', fields: ['peer', 'nextOffset'],
	},
	snapshotAppended: {
		number: 209, level: 'notice', meaning: 'This entry appended a snapshot of the configuration', fields: ['offset', 'upTo'],
	},
	instanceListAway: {
		number: 300, level: 'warning', meaning: 'The instance list can\'t be read; the last one stays', fields: ['detail'],
	},
	instanceListBack: {
		number: 301, level: 'notice', meaning: 'The instance list is read again', fields: ['failures'],
	},
	instanceUnreadable: {
		number: 302, level: 'warning', meaning: 'A row of the instance list can\'t be read', fields: ['row'],
	},
	memberMet: {
		number: 303, level: 'notice', meaning: 'Another entry was met', fields: ['member', 'zone'],
	},
	memberLeft: {
		number: 304, level: 'notice', meaning: 'Another entry left after handing over', fields: ['member', 'zone'],
	},
	memberDead: {
		number: 305, level: 'warning', meaning: 'Another entry is proved gone', fields: ['member', 'zone'],
	},
	strangerDropped: {
		number: 306, level: 'warning', meaning: 'Someone at the peer port failed the handshake', fields: ['detail'],
	},
	peerMessageUnreadable: {
		number: 307, level: 'warning', meaning: 'A peer\'s message can\'t be read and was dropped', fields: ['peer', 'channel'],
	},
	slotLent: {
		number: 400, level: 'detail', meaning: 'The arbiter placed a task on a target', fields: ['ticket', 'target', 'requester', 'profile', 'waitedMilliseconds', 'condition'],
	},
	wishRefused: {
		number: 401, level: 'detail', meaning: 'The arbiter refused tasks before they ran', fields: ['tickets', 'first', 'cause', 'requester'],
	},
	leaseEnded: {
		number: 402, level: 'warning', meaning: 'A slot came back by the end of its lease', fields: ['ticket', 'target', 'requester'],
	},
	targetEjected: {
		number: 403, level: 'warning', meaning: 'A target gets no tasks for a while', fields: ['target', 'outcome', 'periodMilliseconds'],
	},
	targetBack: {
		number: 404, level: 'notice', meaning: 'A target passed its probe', fields: ['target', 'ejections'],
	},
	ejectionCapped: {
		number: 405, level: 'alarm', meaning: 'A bad target stays, since too much of the zone is out', fields: ['target', 'out'],
	},
	tenureTaken: {
		number: 406, level: 'notice', meaning: 'This entry lends the slots of its zone from now on', fields: ['epoch', 'zone', 'manner'],
	},
	tenureLost: {
		number: 407, level: 'notice', meaning: 'This entry lends the slots of its zone no longer', fields: ['epoch', 'zone'],
	},
	tenurePaused: {
		number: 408, level: 'warning', meaning: 'This entry was paused while it lent the slots of its zone', fields: ['epoch'],
	},
	tenureResigned: {
		number: 409, level: 'notice', meaning: 'This entry hands the slots of its zone over', fields: ['successor', 'held'],
	},
	holderSilent: {
		number: 410, level: 'warning', meaning: 'The zone\'s arbiter fell silent, and peers confirm it', fields: ['holder', 'witnesses'],
	},
	staleGrantDropped: {
		number: 411, level: 'warning', meaning: 'A slot came too late to be used', fields: ['ticket', 'arbiter'],
	},
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
	registrarActive: {
		number: 600, level: 'notice', meaning: 'This entry keeps records of submissions for its zone', fields: ['era', 'circle'],
	},
	registrarPaused: {
		number: 601, level: 'warning', meaning: 'This entry was paused and enters its zone\'s registry again', fields: ['milliseconds'],
	},
	registrarFenced: {
		number: 602, level: 'warning', meaning: 'Another entry acts in this one\'s place; it enters the registry again', fields: ['by'],
	},
	registrarTakenOver: {
		number: 603, level: 'warning', meaning: 'This entry decides on submissions in the place of a silent one', fields: ['silent'],
	},
	submissionGivenUp: {
		number: 604, level: 'warning', meaning: 'Nobody can tell any more what became of a submission that was running', fields: ['submission', 'executor', 'detail'],
	},
	vouchingLimited: {
		number: 605,
		level: 'alarm',
		meaning: 'The zone\'s records are lost; older ids and ids without a time are answered "may have run" for a while',
		fields: ['zone', 'forMilliseconds', 'detail'],
	},
	claimUndecided: {
		number: 606, level: 'warning', meaning: 'The home zone of a submission can\'t be asked; the submission isn\'t started', fields: ['submission', 'zone', 'milliseconds'],
	},
	edgeStarted: {
		number: 110, level: 'notice', meaning: 'The edge daemon listens', fields: ['instance', 'zone', 'intake', 'peers', 'version'],
	},
	edgeStopping: {
		number: 111, level: 'notice', meaning: 'The edge daemon was told to stop', fields: ['inFlight', 'ownedTargets'],
	},
	edgeStopped: {
		number: 112, level: 'notice', meaning: 'The edge daemon ends', fields: ['inFlight'],
	},
	settingsReloaded: {
		number: 113, level: 'notice', meaning: 'The settings file was read again', fields: ['outcome', 'detail'],
	},
	errorUnhandled: {
		number: 114, level: 'alarm', meaning: 'A defect: an error reached the top of the process, which goes on', fields: ['detail'],
	},
	processPaused: {
		number: 115, level: 'warning', meaning: 'The process stood still; what it believed before may be out of date', fields: ['milliseconds'],
	},
	linesDropped: {
		number: 116, level: 'warning', meaning: 'Log lines were dropped because standard output is not read fast enough', fields: ['lines'],
	},
	storeAway: {
		number: 210, level: 'warning', meaning: 'The store gives no usable answers', fields: ['detail', 'path'],
	},
	storeBack: {
		number: 211, level: 'notice', meaning: 'The store answers again', fields: ['detail', 'path'],
	},
	answerUnreadable: {
		number: 212, level: 'warning', meaning: 'An answer or a record can\'t be read and has no effect', fields: ['from', 'path', 'detail'],
	},
	routingChanged: {
		number: 220, level: 'notice', meaning: 'A newer configuration is in force here', fields: ['version', 'previous', 'routes', 'source'],
	},
	routeMissing: {
		number: 221, level: 'detail', meaning: 'A request matches no route; "uncertain" while a newer configuration may exist', fields: ['host', 'path', 'kind', 'version', 'ageMilliseconds'],
	},
	catalogueChanged: {
		number: 320, level: 'notice', meaning: 'A target came, went, started again or announced its leaving', fields: ['target', 'change', 'sequence', 'incarnation'],
	},
	targetEntryPassedOver: {
		number: 321,
		level: 'warning',
		meaning: 'A target\'s entry in the store counts as older than the one that is kept and has no effect',
		fields: ['target', 'incarnation', 'sequence', 'isDraining', 'keptIncarnation', 'keptSequence'],
	},
	zoneEvacuated: {
		number: 322, level: 'notice', meaning: 'Operators want a zone emptied, or take it back', fields: ['zone', 'isEvacuated'],
	},
	listOriginChanged: {
		number: 323, level: 'notice', meaning: 'The list of targets comes from another entry from now on, or is read from the store here', fields: ['origin', 'cause'],
	},
	poolMemberMet: {
		number: 330, level: 'notice', meaning: 'Another entry shares its room from now on', fields: ['member', 'zone'],
	},
	poolMemberLost: {
		number: 331, level: 'warning', meaning: 'Another entry is gone or silent; its runs here are stopped, and jobs with runs there given up', fields: ['member', 'cause'],
	},
	poolMessageUnreadable: {
		number: 332, level: 'warning', meaning: 'A message of another entry can\'t be read and has no effect', fields: ['member', 'detail'],
	},
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
	taskBarred: {
		number: 726, level: 'warning', meaning: 'A task was lost with several targets: it\'s started no more, or not before it\'s known what became of them', fields: ['task', 'condition', 'targets'],
	},
	formerLifeEnded: {
		number: 727, level: 'notice', meaning: 'This entry took the place of a former life of its own out of a group', fields: ['group', 'holder'],
	},
	runFound: {
		number: 728, level: 'detail', meaning: 'A start without an answer was carried out; the run goes on', fields: ['target', 'task', 'attempt'],
	},
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
