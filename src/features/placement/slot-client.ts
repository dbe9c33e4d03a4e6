/** Where jobs ask for slots. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {PlacementRequest} from './placement-request.js';
import type {SlotListener} from './slot-listener.js';

/** The slots of all zones, each lent by its own arbiter. */
export abstract class SlotClient {
	/** Asks for slots of a zone for tasks of one job; the deadline is monotonic. */
	abstract requestSlots(zone: AvailabilityZone, want: Extract<PlacementRequest, {kind: 'want'}>, deadlineAt: number, listener: SlotListener): void;

	/** Gives a slot back, or says what became of the task in it. */
	abstract release(ticket: TicketId, outcome: Extract<PlacementRequest, {kind: 'release'}>['outcome'], runMilliseconds: number): void;

	/** Takes wishes back that weren't granted yet; the job must still release what is granted afterwards. */
	abstract withdraw(tickets: readonly TicketId[]): void;
}
