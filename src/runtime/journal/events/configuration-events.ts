/** The configuration and the store it comes from: numbers from 200. */
import type {EventDescription} from '../event-description.js';

/** A part of the event catalogue. */
export const configurationEvents = {
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
} as const satisfies Readonly<Record<string, EventDescription>>;
