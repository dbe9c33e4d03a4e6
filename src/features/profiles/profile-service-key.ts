/** Service key of the profile service. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {ProfileService} from './profile-service.js';

/** Key of the service provided by the profiles feature. */
export const profileServiceKey = new ServiceKey<ProfileService>('profile-service');
