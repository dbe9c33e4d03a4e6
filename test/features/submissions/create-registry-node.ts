/** Entries of a world of registrars. */
import type {MemberId} from '../../../src/base/member-id.js';
import {Registrar} from '../../../src/features/submissions/registrar.js';
import type {RegistryMessage} from '../../../src/features/submissions/registry-message.js';
import {RegistrySubmissionDesk} from '../../../src/features/submissions/registry-submission-desk.js';
import type {Member} from '../../../src/runtime/peers/member.js';
import type {RecordingJournal} from '../../support/recording-journal.js';
import {NodeClock} from './node-clock.js';
import type {PlantedBug} from './planted-bug.js';
import type {RegistryFlights} from './registry-flights.js';
import type {RegistryNode} from './registry-node.js';

const silenceMilliseconds = 2000;
const retentionMilliseconds = 300_000;

/** What an entry has of its world. */
type World = {
	readonly bug: PlantedBug;
	readonly now: () => number;
	readonly flights: RegistryFlights;
	readonly journal: RecordingJournal;
};

/** A registrar and a desk of their own, which know nobody yet. */
export function createRegistryNode(member: Member, world: World): RegistryNode {
	const known = new Map<MemberId, Member>();
	const heardAt = new Map<MemberId, number>();
	const reachedAt = new Map<MemberId, number>();
	const {bug, now: read, journal} = world;
	const clock = new NodeClock(read);
	const send = (to: MemberId, message: RegistryMessage) => {
		world.flights.send(member.id, to, message);
	};

	const isSilent = (id: MemberId) => id !== member.id && read() - (heardAt.get(id) ?? Number.NEGATIVE_INFINITY) > silenceMilliseconds;
	const node: RegistryNode = {
		member,
		known,
		heardAt,
		reachedAt,
		delistedAt: new Map(),
		listedAt: undefined,
		state: 'live',
		hasEntered: false,
		leavingSince: undefined,
		pausedUntil: 0,
		inbox: [],
		registrar: new Registrar({
			self: member,
			clock,
			journal,
			send,
			retentionMilliseconds,
			limitBytes: 1_000_000,
			surroundings: {
				get listedAt() {
					return node.listedAt;
				},
				get neighbours() {
					return [...known.values()];
				},
				hasUnresolved: false,
				isSilent,
				isOutOfTouch: id => bug !== 'losses out of touch are trusted' && read() - (reachedAt.get(id) ?? 0) >= silenceMilliseconds,
				memberOf: id => id === member.id ? member : known.get(id),
			},
		}),
		desk: new RegistrySubmissionDesk({
			self: member.id, zones: [member.zone], clock, journal, send, isSilent, membersOf: () => [member, ...known.values()],
		}),
	};
	return node;
}
