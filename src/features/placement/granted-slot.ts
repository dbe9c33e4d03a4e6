/** A slot that this entry may use. */
import type {TargetAddress} from '../../runtime/targets/target-address.js';
import type {TicketId} from '../../base/ticket-id.js';

/** To be used at once for the ticket's task, and released afterwards. */
export type GrantedSlot = {
	readonly ticket: TicketId;
	readonly target: TargetAddress;
};
