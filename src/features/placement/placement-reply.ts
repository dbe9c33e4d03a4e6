/** Validated reply of an arbiter. */
import type {z} from 'zod';
import type {placementReplySchema} from './placement-reply-schema.js';

/** See the schema for the meaning of each kind. */
export type PlacementReply = z.output<typeof placementReplySchema>;
