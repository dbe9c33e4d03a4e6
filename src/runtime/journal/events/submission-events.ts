/** Events of the submission registry; numbers from 600. */
import type {EventDescription} from '../event-description.js';

/** Changes of registrars, and submissions they can't decide. */
export const submissionEvents = {
	registrarActive: {
		number: 600, level: 'notice', meaning: 'This entry became an active registrar of its zone', fields: ['era', 'circle'],
	},
	registrarPaused: {
		number: 601, level: 'warning', meaning: 'This entry was paused and rejoins its zone\'s registry', fields: ['milliseconds'],
	},
	registrarFenced: {
		number: 602, level: 'warning', meaning: 'Another entry took over for this one, which rejoins the registry', fields: ['by'],
	},
	registrarTakenOver: {
		number: 603, level: 'warning', meaning: 'This entry took over submissions from an unresponsive entry', fields: ['silent'],
	},
	submissionGivenUp: {
		number: 604, level: 'warning', meaning: 'The outcome of a running submission can no longer be determined', fields: ['submission', 'executor', 'detail'],
	},
	vouchingLimited: {
		number: 605,
		level: 'alarm',
		meaning: 'The zone\'s records are lost; older ids and ids without a time are temporarily answered "may have run"',
		fields: ['zone', 'forMilliseconds', 'detail'],
	},
	claimUndecided: {
		number: 606, level: 'warning', meaning: 'The home zone of a submission is unreachable; the submission is not started', fields: ['submission', 'zone', 'milliseconds'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
