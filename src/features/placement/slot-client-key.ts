/** Service key of the slot client. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {SlotClient} from './slot-client.js';

/** Provided by the placement feature. */
export const slotClientKey = new ServiceKey<SlotClient>('slot-client');
