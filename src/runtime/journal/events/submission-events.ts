/** The records of submissions: numbers from 600. */
import type {EventDescription} from '../event-description.js';

/** A part of the event catalogue. */
export const submissionEvents = {
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
