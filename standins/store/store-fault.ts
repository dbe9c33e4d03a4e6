/** What the store's stand-in can do wrong. */
import {z} from 'zod';

/** Fields that are absent stay as they are. */
export const storeFaultSchema = z.strictObject({
	/** Every call gets this status: 503 or 429. 0 ends it. */
	status: z.int().optional(),
	delayMilliseconds: z.int().min(0).optional(),
	/** So many calls that write are carried out, but their replies are lost. */
	lostReplies: z.int().min(0).optional(),
	/** Drops all records of a topic; the newest of each key are kept. */
	dropHistoryOf: z.string().optional(),
	/** Answers nothing that can be read. */
	isGarbled: z.boolean().optional(),
});
