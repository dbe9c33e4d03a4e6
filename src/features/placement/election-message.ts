/** Validated message of the arbiter election. */
import type {z} from 'zod';
import type {electionMessageSchema} from './election-message-schema.js';

/** See the schema for the meaning of each kind. */
export type ElectionMessage = z.output<typeof electionMessageSchema>;
