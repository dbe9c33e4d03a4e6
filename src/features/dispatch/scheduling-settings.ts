/** Settings of the decisions under load. */
import type {z} from 'zod';
import type {schedulingSettingsSchema} from './scheduling-settings-schema.js';

/** Which decisions are made; one that is disabled leaves placement as it is without it. Immutable after start. */
export type SchedulingSettings = z.output<typeof schedulingSettingsSchema>;
