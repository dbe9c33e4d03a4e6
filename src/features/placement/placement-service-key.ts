/** The container's name for this entry's part in the placement. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {PlacementService} from './placement-service.js';

/** Provided by the placement feature; for status and shutdown. */
export const placementServiceKey = new ServiceKey<PlacementService>('placement-service');
