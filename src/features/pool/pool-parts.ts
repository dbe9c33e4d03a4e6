/** Dependencies of a pool. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {PauseDetector} from '../../runtime/pause-detector.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import type {BacklogReport} from '../backlog/backlog-report.js';
import type {Member} from '../../runtime/peers/member.js';
import type {EntryState} from './entry-state.js';

/** What the owner of a pool provides. */
export type PoolParts = {
	readonly network: PeerNetwork;
	readonly ownState: () => EntryState;
	/** The free CPU of this entry's target with the most of it, in thousandths of a core. */
	readonly largestFreeCpuMillis: () => number;
	/** Peers that run tasks for this entry, or that this entry runs tasks for. */
	readonly peersInUse: () => ReadonlySet<MemberId>;
	/** The backlog to send to a peer along with a state; undefined if none is due. */
	readonly backlogFor?: (member: Member) => BacklogReport | undefined;
	readonly pauses: PauseDetector;
	readonly clock: Clock;
	readonly journal: Journal;
};
