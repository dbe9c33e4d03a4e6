/** A checked message to an arbiter. */
import type {z} from 'zod';
import type {placementRequestSchema} from './placement-request-schema.js';

/** See the schema for what each kind means. */
export type PlacementRequest = z.output<typeof placementRequestSchema>;
