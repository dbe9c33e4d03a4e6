/** The task behind a ticket. */
import type {TaskId} from '../../base/task-id.js';
import type {TicketId} from '../../base/ticket-id.js';

/** Tickets are the task's id, a colon and the number of the try. */
export function taskIdOf(ticket: TicketId): TaskId {
	return ticket.slice(0, ticket.lastIndexOf(':')) as TaskId;
}
