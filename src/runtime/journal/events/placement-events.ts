/** Events of slot placement and arbiter election; numbers from 400. */
import type {EventDescription} from '../event-description.js';

/** Slot grants, target ejections and changes of the arbiter. */
export const placementEvents = {
	slotLent: {
		number: 400, level: 'detail', meaning: 'The arbiter placed a task on a target', fields: ['ticket', 'target', 'requester', 'profile', 'waitedMilliseconds', 'condition'],
	},
	wishRefused: {
		number: 401, level: 'detail', meaning: 'The arbiter refused tasks before they ran', fields: ['tickets', 'first', 'cause', 'requester'],
	},
	leaseEnded: {
		number: 402, level: 'warning', meaning: 'A slot was reclaimed because its lease expired', fields: ['ticket', 'target', 'requester'],
	},
	targetEjected: {
		number: 403, level: 'warning', meaning: 'A target is temporarily ejected and gets no tasks', fields: ['target', 'outcome', 'periodMilliseconds'],
	},
	targetBack: {
		number: 404, level: 'notice', meaning: 'A target passed its probe', fields: ['target', 'ejections'],
	},
	ejectionCapped: {
		number: 405, level: 'alarm', meaning: 'An unhealthy target is kept because too many targets of the zone are ejected', fields: ['target', 'out'],
	},
	tenureTaken: {
		number: 406, level: 'notice', meaning: 'This entry became the arbiter of its zone', fields: ['epoch', 'zone', 'manner'],
	},
	tenureLost: {
		number: 407, level: 'notice', meaning: 'This entry is no longer the arbiter of its zone', fields: ['epoch', 'zone'],
	},
	tenurePaused: {
		number: 408, level: 'warning', meaning: 'This entry was paused while it was the arbiter of its zone', fields: ['epoch'],
	},
	tenureResigned: {
		number: 409, level: 'notice', meaning: 'This entry hands over the role of arbiter of its zone', fields: ['successor', 'held'],
	},
	holderSilent: {
		number: 410, level: 'warning', meaning: 'The zone\'s arbiter is unresponsive, and peers confirm it', fields: ['holder', 'witnesses'],
	},
	staleGrantDropped: {
		number: 411, level: 'warning', meaning: 'A slot was granted too late to be used', fields: ['ticket', 'arbiter'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
