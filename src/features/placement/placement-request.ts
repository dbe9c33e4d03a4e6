/** Validated request to an arbiter. */
import type {z} from 'zod';
import type {placementRequestSchema} from './placement-request-schema.js';

/** See the schema for the meaning of each kind. */
export type PlacementRequest = z.output<typeof placementRequestSchema>;
