/** Creates entries of a registry simulation. */
import type {MemberId} from '../../../src/base/member-id.js';
import {Registrar} from '../../../src/features/submissions/registrar.js';
import type {RegistryMessage} from '../../../src/features/submissions/registry-message.js';
import {RemoteRegistryClient} from '../../../src/features/submissions/remote-registry-client.js';
import type {Member} from '../../../src/runtime/peers/member.js';
import type {RecordingJournal} from '../../support/recording-journal.js';
import {SimulationClock} from './simulation-clock.js';
import type {InjectedBug} from './injected-bug.js';
import type {SimulatedNetwork} from './simulated-network.js';
import type {RegistryNode} from './registry-node.js';

const silenceMilliseconds = 2000;
const retentionMilliseconds = 300_000;

/** The simulation's services used by an entry. */
type NodeContext = {
	readonly bug: InjectedBug;
	readonly now: () => number;
	readonly network: SimulatedNetwork;
	readonly journal: RecordingJournal;
};

/** Creates an entry with its own registrar and client, which knows no peers yet. */
export function createRegistryNode(member: Member, context: NodeContext): RegistryNode {
	const known = new Map<MemberId, Member>();
	const heardAt = new Map<MemberId, number>();
	const reachedAt = new Map<MemberId, number>();
	const {bug, now, journal} = context;
	const clock = new SimulationClock(now);
	const send = (to: MemberId, message: RegistryMessage) => {
		context.network.send(member.id, to, message);
	};

	const isSilent = (id: MemberId) => id !== member.id && now() - (heardAt.get(id) ?? Number.NEGATIVE_INFINITY) > silenceMilliseconds;
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
			environment: {
				get listedAt() {
					return node.listedAt;
				},
				get peers() {
					return [...known.values()];
				},
				hasUnresolvedPeers: false,
				isSilent,
				isContactStale: id => bug !== 'losses of unreachable peers are trusted' && now() - (reachedAt.get(id) ?? 0) >= silenceMilliseconds,
				memberOf: id => id === member.id ? member : known.get(id),
			},
		}),
		client: new RemoteRegistryClient({
			self: member.id, zones: [member.zone], clock, journal, send, isSilent, membersOf: () => [member, ...known.values()],
		}),
	};
	return node;
}
