/** The container's name for the profiles in force. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {ProfileService} from './profile-service.js';

/** Provided by the profiles feature. */
export const profileServiceKey = new ServiceKey<ProfileService>('profile-service');
