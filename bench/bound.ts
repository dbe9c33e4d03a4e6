/** The shape of bench/bounds.json. */
import {z} from 'zod';

/** A bound on one figure of one case. */
export const boundsSchema = z.object({
	note: z.string(),
	seconds: z.number(),
	rows: z.array(z.object({
		case: z.string(), metric: z.string(), most: z.number().optional(), least: z.number().optional(),
	})),
});
