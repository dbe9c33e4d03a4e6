/** Task id of a ticket. */
import type {TaskId} from '../../base/task-id.js';
import type {TicketId} from '../../base/ticket-id.js';

/** A ticket consists of the task id, a colon and the attempt number. */
export function taskIdOf(ticket: TicketId): TaskId {
	return ticket.slice(0, ticket.lastIndexOf(':')) as TaskId;
}
