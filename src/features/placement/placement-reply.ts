/** A checked message from an arbiter. */
import type {z} from 'zod';
import type {placementReplySchema} from './placement-reply-schema.js';

/** See the schema for what each kind means. */
export type PlacementReply = z.output<typeof placementReplySchema>;
