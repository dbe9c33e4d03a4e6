/** Events of the configuration, its log and its store; numbers from 200. */
import type {EventDescription} from '../event-description.js';

/** Events of the configuration and of the routing derived from it. */
export const configurationEvents = {
	configurationAdvanced: {
		number: 200, level: 'notice', meaning: 'Configuration records were applied', fields: ['nextOffset', 'source'],
	},
	changeAccepted: {
		number: 201, level: 'notice', meaning: 'An operator\'s change was applied on this entry', fields: ['offset', 'name', 'changeId', 'cause'],
	},
	changeRejected: {
		number: 202, level: 'notice', meaning: 'An operator\'s change was rejected', fields: ['offset', 'name', 'changeId', 'cause'],
	},
	recordSkipped: {
		number: 203, level: 'warning', meaning: 'A configuration record could not be decoded and was ignored', fields: ['offset', 'detail'],
	},
	newerRecordSkipped: {
		number: 204, level: 'alarm', meaning: 'A record was written by a newer software version and was ignored', fields: ['offset', 'detail'],
	},
	logAway: {
		number: 205, level: 'warning', meaning: 'The log is unreachable; the current configuration stays active', fields: ['detail'],
	},
	logFollowed: {
		number: 206, level: 'notice', meaning: 'Reading from the log has resumed', fields: ['nextOffset'],
	},
	logDisagrees: {
		number: 207, level: 'alarm', meaning: 'The log is shorter than, or differs from, the active configuration; it is not applied', fields: ['problem', 'nextOffset', 'detail'],
	},
	peerDisagrees: {
		number: 208, level: 'alarm', meaning: 'A peer has a different configuration at the same offset', fields: ['peer', 'nextOffset'],
	},
	snapshotAppended: {
		number: 209, level: 'notice', meaning: 'This entry appended a snapshot of the configuration', fields: ['offset', 'upTo'],
	},
	storeAway: {
		number: 210, level: 'warning', meaning: 'The store is unreachable or returns unusable responses', fields: ['detail', 'path'],
	},
	storeBack: {
		number: 211, level: 'notice', meaning: 'The store is reachable again', fields: ['detail', 'path'],
	},
	answerUnreadable: {
		number: 212, level: 'warning', meaning: 'A response or record could not be decoded and was ignored', fields: ['from', 'path', 'detail'],
	},
	routingChanged: {
		number: 220, level: 'notice', meaning: 'A newer routing configuration was applied on this entry', fields: ['version', 'previous', 'routes', 'source'],
	},
	routeMissing: {
		number: 221, level: 'detail', meaning: 'A request matches no route; "uncertain" if a newer configuration may exist', fields: ['host', 'path', 'kind', 'version', 'ageMilliseconds'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
