/** Validated settings. */
import type {z} from 'zod';
import type {entrySettingsSchema} from './entry-settings.js';

/** Settings of the entry daemon; immutable after start. */
export type Settings = z.output<typeof entrySettingsSchema>;
