/** All events of the daemon; docs/EVENTS.md is checked against this list. */
import type {EventDescription} from './event-description.js';

/** Hundreds group the events: 1 process, 2 configuration, 3 membership, 4 placement, 5 jobs, 6 submissions. */
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
} as const satisfies Readonly<Record<string, EventDescription>>;
