/** The type of pool messages before they are sent. */
import type {z} from 'zod';
import type {poolMessageSchema} from './pool-message-schema.js';

/** A message as it goes out: amounts as tuples, ids as strings. */
export type OutgoingPoolMessage = z.input<typeof poolMessageSchema>;
