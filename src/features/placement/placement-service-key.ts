/** Service key of the placement service. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {PlacementService} from './placement-service.js';

/** Provided by the placement feature; used for status reports and shutdown. */
export const placementServiceKey = new ServiceKey<PlacementService>('placement-service');
