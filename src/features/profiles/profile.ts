/** A checked profile. */
import type {z} from 'zod';
import type {profileSchema} from './profile-schema.js';

/** How a class of work is treated; docs/operations/profiles.md describes each key. */
export type Profile = z.output<typeof profileSchema>;
