/** The branded type of a ticket id. */
import type {Brand} from './brand.js';

/** One wish for a slot: the task's id and the number of the try. */
export type TicketId = Brand<string, 'TicketId'>;
