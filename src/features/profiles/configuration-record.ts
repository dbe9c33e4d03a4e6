/** A validated record of the configuration stream. */
import type {z} from 'zod';
import type {configurationRecordSchema} from './configuration-record-schema.js';

/** An operator's change, or a snapshot of the state. */
export type ConfigurationRecord = z.output<typeof configurationRecordSchema>;
