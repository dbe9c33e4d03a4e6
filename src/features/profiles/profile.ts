/** A validated profile. */
import type {z} from 'zod';
import type {profileSchema} from './profile-schema.js';

/** Scheduling settings for a class of jobs; docs/operations/profiles.md describes each key. */
export type Profile = z.output<typeof profileSchema>;
