/** The branded type of a availability zone. */
import type {Brand} from './brand.js';

/** Name of an availability zone, as the settings and the instance list give it. */
export type AvailabilityZone = Brand<string, 'AvailabilityZone'>;
