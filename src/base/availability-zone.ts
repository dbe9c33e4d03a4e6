/** Branded type of an availability zone. */
import type {Brand} from './brand.js';

/** Name of an availability zone, as in the settings and the instance list. */
export type AvailabilityZone = Brand<string, 'AvailabilityZone'>;
