/** Settings after their check. */
import type {z} from 'zod';
import type {entrySettingsSchema} from './entry-settings.js';

/** What the entry daemon was told at start; it doesn't change while the daemon runs. */
export type Settings = z.output<typeof entrySettingsSchema>;
