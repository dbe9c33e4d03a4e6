/** Slots and the arbiter's office: numbers from 400. */
import type {EventDescription} from '../event-description.js';

/** A part of the event catalogue. */
export const placementEvents = {
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
} as const satisfies Readonly<Record<string, EventDescription>>;
