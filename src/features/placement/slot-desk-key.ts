/** The container's name for the slots of all zones. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {SlotDesk} from './slot-desk.js';

/** Provided by the placement feature. */
export const slotDeskKey = new ServiceKey<SlotDesk>('slot-desk');
