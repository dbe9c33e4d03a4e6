/** Events of the process life cycle and of its log output; numbers from 100. */
import type {EventDescription} from '../event-description.js';

/** Start, shutdown, settings and faults of the process. */
export const processEvents = {
	started: {
		number: 100, level: 'notice', meaning: 'The daemon is listening', fields: ['instance', 'zone', 'httpPort', 'peerPort'],
	},
	draining: {
		number: 101, level: 'notice', meaning: 'The daemon is shutting down and refuses new jobs', fields: ['inFlight'],
	},
	stopped: {
		number: 102, level: 'notice', meaning: 'The daemon stopped', fields: ['unfinished'],
	},
	edgeStarted: {
		number: 110, level: 'notice', meaning: 'The edge daemon is listening', fields: ['instance', 'zone', 'intake', 'peers', 'version'],
	},
	edgeStopping: {
		number: 111, level: 'notice', meaning: 'The edge daemon is shutting down', fields: ['inFlight', 'ownedTargets'],
	},
	edgeStopped: {
		number: 112, level: 'notice', meaning: 'The edge daemon stopped', fields: ['inFlight'],
	},
	settingsReloaded: {
		number: 113, level: 'notice', meaning: 'The settings file was reloaded', fields: ['outcome', 'detail'],
	},
	errorUnhandled: {
		number: 114, level: 'alarm', meaning: 'An unhandled error was caught; the process continues', fields: ['detail'],
	},
	processPaused: {
		number: 115, level: 'warning', meaning: 'The process was paused; its state may be out of date', fields: ['milliseconds', 'monotonicMilliseconds'],
	},
	linesDropped: {
		number: 116, level: 'warning', meaning: 'Log lines were dropped because standard output is not read fast enough', fields: ['lines'],
	},
	eventLoopDelayed: {
		number: 117, level: 'notice', meaning: 'The event loop was late; messages, stops and heartbeats waited for it', fields: ['milliseconds'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
