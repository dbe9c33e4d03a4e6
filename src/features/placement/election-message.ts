/** A checked message about the arbiter's office. */
import type {z} from 'zod';
import type {electionMessageSchema} from './election-message-schema.js';

/** See the schema for what each kind means. */
export type ElectionMessage = z.output<typeof electionMessageSchema>;
