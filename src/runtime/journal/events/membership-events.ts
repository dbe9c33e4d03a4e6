/** Which entries and targets are there: numbers from 300. */
import type {EventDescription} from '../event-description.js';

/** A part of the event catalogue. */
export const membershipEvents = {
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
	touchLost: {
		number: 333, level: 'warning', meaning: 'This entry was out of touch with the others, and gives up the jobs that it held', fields: ['cause', 'jobs'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
