/** A validated message of the registry. */
import type {z} from 'zod';
import type {registryMessageSchema} from './registry-message-schema.js';

/** The schema documents each kind. */
export type RegistryMessage = z.output<typeof registryMessageSchema>;
