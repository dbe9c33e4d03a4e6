/** Faults of the store's stand-in. */
import {z} from 'zod';

/** Absent fields stay unchanged. */
export const storeFaultSchema = z.strictObject({
	/** Status of every response, 503 or 429; 0 turns the fault off. */
	status: z.int().optional(),
	delayMilliseconds: z.int().min(0).optional(),
	/** Number of further writes that take effect but get no response. */
	lostReplies: z.int().min(0).optional(),
	/** Trims all records of a topic; the latest value of each key is kept. */
	dropHistoryOf: z.string().optional(),
	/** Responds with malformed JSON. */
	isGarbled: z.boolean().optional(),
});
