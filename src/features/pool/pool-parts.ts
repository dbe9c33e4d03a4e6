/** What a pool works with. */
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {PauseWatch} from '../../runtime/pause-watch.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import type {NodeState} from './node-state.js';

export type PoolParts = {
	readonly network: PeerNetwork;
	readonly ownState: () => NodeState;
	/** Entries that run something for this one, or that this one runs something for. */
	readonly peersInUse: () => ReadonlySet<MemberId>;
	readonly pauses: PauseWatch;
	readonly clock: Clock;
	readonly journal: Journal;
};
