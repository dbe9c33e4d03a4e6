/** The container's name for this entry's part in the placement. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {ZonePlacement} from './zone-placement.js';

/** Provided by the placement feature; for status and shutdown. */
export const zonePlacementKey = new ServiceKey<ZonePlacement>('zone-placement');
