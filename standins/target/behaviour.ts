/** How a target's stand-in answers. */
import {z} from 'zod';

/**
 * `silent` takes requests and never answers; `crossed` answers with another task's id; `half` ends its answer in the
 * middle; `refusing` says truly that it runs nothing.
 */
export const behaviourSchema = z.strictObject({
	mode: z.enum(['normal', 'failing', 'silent', 'crossed', 'half', 'refusing']).default('normal'),
	/** Tasks take so many times as long. */
	slowness: z.number().min(0.01).default(1),
});
