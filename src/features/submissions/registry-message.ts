/** A checked message of the registry. */
import type {z} from 'zod';
import type {registryMessageSchema} from './registry-message-schema.js';

/** See the schema for what each kind means. */
export type RegistryMessage = z.output<typeof registryMessageSchema>;
