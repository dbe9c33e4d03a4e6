/** What a worker's stand-in can do wrong. */
import {z} from 'zod';

/** Fields that are absent stay as they are. */
export const workerFaultSchema = z.strictObject({
	/**
	 * `silent` answers nothing; `losing` carries out and answers nothing; `late` carries out after `lateMilliseconds` and
	 * answers nothing; `unhealthy` refuses; `failing` fails every run; `hanging` ends none; `garbled` answers nonsense.
	 */
	mode: z.enum(['normal', 'silent', 'losing', 'late', 'unhealthy', 'failing', 'hanging', 'garbled']).optional(),
	lateMilliseconds: z.int().min(0).optional(),
	/** Work takes so many times as long. */
	slowness: z.number().min(0.1).optional(),
});
