/** Slot granted to this entry. */
import type {TargetAddress} from '../../runtime/targets/target-address.js';
import type {TicketId} from '../../base/ticket-id.js';

/** Must be used immediately for the ticket's task, and released afterwards. */
export type GrantedSlot = {
	readonly ticket: TicketId;
	readonly target: TargetAddress;
};
