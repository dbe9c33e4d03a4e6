/** Callbacks for the results of slot requests. */
import type {TicketId} from '../../base/ticket-id.js';
import type {GrantedSlot} from './granted-slot.js';
import type {JobRefusal} from './job-refusal.js';

/** Each ticket is granted or refused once; a withdrawn ticket may still be granted or refused. */
export type SlotListener = {
	readonly onDidGrant: (slot: GrantedSlot) => void;
	readonly onDidRefuse: (ticket: TicketId, refusal: JobRefusal) => void;
};
