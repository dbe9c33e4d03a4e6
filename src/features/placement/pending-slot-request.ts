/** What a job waits for. */
import type {PlacementRequest} from './placement-request.js';
import type {SlotListener} from './slot-listener.js';

type Want = Extract<PlacementRequest, {kind: 'want'}>;

/** The wish for a slot for one task; times are the entry's own monotonic ones. */
export type PendingSlotRequest = {
	readonly request: Want;
	readonly task: Want['tasks'][number];
	readonly deadlineAt: number;
	readonly requestedAt: number;
	readonly listener: SlotListener;
};
