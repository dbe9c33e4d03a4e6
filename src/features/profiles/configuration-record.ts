/** A record of the configuration stream after its check. */
import type {z} from 'zod';
import type {configurationRecordSchema} from './configuration-record-schema.js';

/** A change or a snapshot. */
export type ConfigurationRecord = z.output<typeof configurationRecordSchema>;
