/** A task that waits for a slot. */
import * as z from 'zod';
import type {InstanceId} from '../../base/instance-id.js';
import type {TicketId} from '../../base/ticket-id.js';

/** What the choice of a target depends on; sizes are of the task, labels of the target. */
export const requestedTaskSchema = z.object({
	ticket: z.string().max(300).transform(ticket => ticket as TicketId),
	memoryMegabytes: z.number().min(0),
	accelerators: z.number().min(0),
	/** The target must have all of these. */
	labels: z.array(z.string()),
	/** The target may have none of these. */
	avoided: z.array(z.string()),
	/** Targets that refused this task before. */
	excluded: z.array(z.string().transform(id => id as InstanceId)),
	/** The caller's guess of the run time. */
	declaredMilliseconds: z.number().min(0).optional(),
});
