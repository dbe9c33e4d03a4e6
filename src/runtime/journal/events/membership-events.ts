/** Events of membership and target discovery; numbers from 300. */
import type {EventDescription} from '../event-description.js';

/** Changes of the known entries, targets and zones. */
export const membershipEvents = {
	instanceListAway: {
		number: 300, level: 'warning', meaning: 'The instance list is unreachable; the last known list stays in use', fields: ['detail'],
	},
	instanceListBack: {
		number: 301, level: 'notice', meaning: 'The instance list is reachable again', fields: ['failures'],
	},
	instanceUnreadable: {
		number: 302, level: 'warning', meaning: 'A row of the instance list is invalid and was skipped', fields: ['row'],
	},
	memberMet: {
		number: 303, level: 'notice', meaning: 'Another entry was discovered', fields: ['member', 'zone'],
	},
	memberLeft: {
		number: 304, level: 'notice', meaning: 'Another entry left after handing over its work', fields: ['member', 'zone'],
	},
	memberDead: {
		number: 305, level: 'warning', meaning: 'Another entry is confirmed dead', fields: ['member', 'zone'],
	},
	strangerDropped: {
		number: 306, level: 'warning', meaning: 'A connection failed the peer handshake and was closed', fields: ['detail'],
	},
	peerMessageUnreadable: {
		number: 307, level: 'warning', meaning: 'A message from a peer could not be decoded and was dropped', fields: ['peer', 'channel'],
	},
	peerVersionDiffers: {
		number: 308,
		level: 'warning',
		meaning: 'An entry speaks another version of the peer protocol, so that it and this entry share no capacity; logged once for each version',
		fields: ['version', 'own', 'address'],
	},
	catalogueChanged: {
		number: 320, level: 'notice', meaning: 'A target was added, removed, restarted or started to drain', fields: ['target', 'change', 'sequence', 'incarnation'],
	},
	targetEntryPassedOver: {
		number: 321,
		level: 'warning',
		meaning: 'A target\'s record in the store is older than the current one and was ignored',
		fields: ['target', 'incarnation', 'sequence', 'isDraining', 'keptIncarnation', 'keptSequence'],
	},
	zoneEvacuated: {
		number: 322, level: 'notice', meaning: 'Operators requested the evacuation of a zone, or cancelled it', fields: ['zone', 'isEvacuated'],
	},
	listOriginChanged: {
		number: 323, level: 'notice', meaning: 'The source of the target list changed to another entry or to the store', fields: ['origin', 'cause'],
	},
	poolMemberMet: {
		number: 330, level: 'notice', meaning: 'Another entry joined the pool', fields: ['member', 'zone'],
	},
	poolMemberLost: {
		number: 331, level: 'warning', meaning: 'Another entry is gone or unresponsive; its runs here are stopped, and jobs with runs there are abandoned', fields: ['member', 'cause'],
	},
	poolMessageUnreadable: {
		number: 332, level: 'warning', meaning: 'A message from another entry could not be decoded and was ignored', fields: ['member', 'detail'],
	},
	touchLost: {
		number: 333, level: 'warning', meaning: 'This entry lost contact with the others and abandons its jobs', fields: ['cause', 'jobs'],
	},
} as const satisfies Readonly<Record<string, EventDescription>>;
