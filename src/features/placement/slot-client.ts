/** Interface through which jobs request slots. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {PlacementRequest} from './placement-request.js';
import type {SlotListener} from './slot-listener.js';

/** Requests slots of any zone from the arbiter of that zone. */
export abstract class SlotClient {
	/** Requests slots for tasks of one job; the deadline is on the monotonic clock. */
	abstract requestSlots(zone: AvailabilityZone, want: Extract<PlacementRequest, {kind: 'want'}>, deadlineAt: number, listener: SlotListener): void;

	/** Returns a slot and reports the outcome of its task. */
	abstract release(ticket: TicketId, outcome: Extract<PlacementRequest, {kind: 'release'}>['outcome'], runMilliseconds: number): void;

	/** Cancels requests that haven't been granted; slots granted concurrently must still be released. */
	abstract withdraw(tickets: readonly TicketId[]): void;
}
