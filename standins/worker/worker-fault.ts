/** Faults of a worker's stand-in. */
import {z} from 'zod';

/** Absent fields stay unchanged. */
export const workerFaultSchema = z.strictObject({
	/**
	 * - `silent`: ignores requests
	 * - `losing`: executes requests without a response
	 * - `late`: executes requests after `lateMilliseconds` without a response
	 * - `unhealthy`: responds with 503
	 * - `failing`: all runs fail
	 * - `hanging`: runs never end
	 * - `garbled`: responds with malformed JSON
	 */
	mode: z.enum(['normal', 'silent', 'losing', 'late', 'unhealthy', 'failing', 'hanging', 'garbled']).optional(),
	lateMilliseconds: z.int().min(0).optional(),
	/** Factor by which runs take longer. */
	slowness: z.number().min(0.1).optional(),
});
