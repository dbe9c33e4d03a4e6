/** Slot request that waits for a reply. */
import type {PlacementRequest} from './placement-request.js';
import type {SlotListener} from './slot-listener.js';

type Want = Extract<PlacementRequest, {kind: 'want'}>;

/** Request for one slot for one task; times are on this entry's monotonic clock. */
export type PendingSlotRequest = {
	readonly request: Want;
	readonly task: Want['tasks'][number];
	readonly deadlineAt: number;
	readonly requestedAt: number;
	readonly listener: SlotListener;
};
