/** Behaviour of a target's stand-in. */
import {z} from 'zod';

/**
 * - `failing`: every task fails at once
 * - `silent`: accepts requests and never responds
 * - `crossed`: responds with the id of another task
 * - `half`: disconnects in the middle of the response
 * - `refusing`: refuses every task
 */
export const behaviourSchema = z.strictObject({
	mode: z.enum(['normal', 'failing', 'silent', 'crossed', 'half', 'refusing']).default('normal'),
	/** Factor by which tasks take longer. */
	slowness: z.number().min(0.01).default(1),
});
