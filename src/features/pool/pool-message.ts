/** The type of pool messages. */
import type {z} from 'zod';
import type {poolMessageSchema} from './pool-message-schema.js';

/** A checked message of another entry. */
export type PoolMessage = z.output<typeof poolMessageSchema>;
