/** Dependencies of a target's session. */
import type {Clock} from '../../base/clock.js';
import type {FencingToken} from '../../base/fencing-token.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {TargetOrders} from '../targets/target-orders.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {ClockOffsets} from './clock-offsets.js';
import type {ResponseTimes} from './response-times.js';
import type {RunCounts} from './run-counts.js';
import type {SessionListener} from './session-listener.js';

export type SessionParts = {
	readonly target: TargetRecord;
	readonly fence: FencingToken;
	readonly leaseMilliseconds: number;
	readonly clockOffsets: ClockOffsets;
	/** Returns the monotonic time at which a requester was last known to be alive. */
	readonly lastContact: (requester: MemberId) => number;
	/** Returns the monotonic time at which a requester was last known to be alive when runs of it were handed over to this entry. */
	readonly contactAtHandover: (requester: MemberId) => number;
	/** Finds out whether this entry was paused, so that `lastContact` takes it into account. */
	readonly checkPause: () => void;
	readonly orders: TargetOrders;
	readonly responseTimes: ResponseTimes;
	readonly runCounts: RunCounts;
	readonly clock: Clock;
	readonly journal: Journal;
	readonly listener: SessionListener;
};
