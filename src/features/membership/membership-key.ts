/** The service key of the membership. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {Membership} from './membership.js';

/** Provided by the membership feature. */
export const membershipKey = new ServiceKey<Membership>('membership');
