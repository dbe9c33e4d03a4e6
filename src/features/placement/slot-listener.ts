/** What a job hears of its wishes. */
import type {TicketId} from '../../base/ticket-id.js';
import type {GrantedSlot} from './granted-slot.js';
import type {JobRefusal} from './job-refusal.js';

/** Each ticket is either granted or refused, once; a withdrawn one may still be. */
export type SlotListener = {
	readonly onDidGrant: (slot: GrantedSlot) => void;
	readonly onDidRefuse: (ticket: TicketId, refusal: JobRefusal) => void;
};
