/** Branded type of a ticket id. */
import type {Brand} from './brand.js';

/** Identifier of one slot request: the task id and the number of the attempt. */
export type TicketId = Brand<string, 'TicketId'>;
