/** A checked message about the arbiter's office. */
import type {z} from 'zod';
import type {tenureMessageSchema} from './tenure-message-schema.js';

/** See the schema for what each kind means. */
export type TenureMessage = z.output<typeof tenureMessageSchema>;
