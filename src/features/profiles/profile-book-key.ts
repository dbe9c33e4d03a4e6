/** The container's name for the profiles in force. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {ProfileBook} from './profile-book.js';

/** Provided by the profiles feature. */
export const profileBookKey = new ServiceKey<ProfileBook>('profile-book');
