/** The process and its log: numbers from 100. */
import type {EventDescription} from '../event-description.js';

/** A part of the event catalogue. */
export const processEvents = {
	started: {
		number: 100, level: 'notice', meaning: 'The daemon listens', fields: ['instance', 'zone', 'httpPort', 'peerPort'],
	},
	draining: {
		number: 101, level: 'notice', meaning: 'The daemon was told to stop and refuses new jobs', fields: ['inFlight'],
	},
	stopped: {
		number: 102, level: 'notice', meaning: 'The daemon ends', fields: ['unfinished'],
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
} as const satisfies Readonly<Record<string, EventDescription>>;
