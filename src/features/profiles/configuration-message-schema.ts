/** Messages between entries that synchronize the configuration. */
import * as z from 'zod';
import {jsonValueSchema} from '../../base/json-value-schema.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import {configurationRecordSchema} from './configuration-record-schema.js';

const offset = z.int().min(0).transform(number => number as StreamOffset);
const digest = z.string().max(64);

/**
 * `have` is sent periodically and on each change. A peer that is behind replies with `need` and receives the missing
 * records (`tail`) or a snapshot (`state`).
 */
export const configurationMessageSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('have'), nextOffset: offset, digest}),
	z.object({kind: z.literal('need'), from: offset}),
	z.object({
		kind: z.literal('tail'), from: offset, digest, records: z.array(z.object({offset, body: jsonValueSchema})),
	}),
	z.object({kind: z.literal('state'), snapshot: configurationRecordSchema.options[3]}),
]);
