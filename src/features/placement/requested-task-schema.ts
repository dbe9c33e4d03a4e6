/** Schema of a task for which a slot is requested. */
import * as z from 'zod';
import type {InstanceId} from '../../base/instance-id.js';
import type {TicketId} from '../../base/ticket-id.js';

/** Requirements of the task on its target. */
export const requestedTaskSchema = z.object({
	ticket: z.string().max(300).transform(ticket => ticket as TicketId),
	memoryMegabytes: z.number().min(0),
	accelerators: z.number().min(0),
	/** Labels that the target must have. */
	labels: z.array(z.string()),
	/** Labels that the target must not have. */
	avoided: z.array(z.string()),
	/** Targets that have refused this task. */
	excluded: z.array(z.string().transform(id => id as InstanceId)),
	/** Run time estimated by the caller. */
	declaredMilliseconds: z.number().min(0).optional(),
});
