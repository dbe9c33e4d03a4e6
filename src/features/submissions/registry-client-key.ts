/** Service key of the registry client. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {RegistryClient} from './registry-client.js';

/** Key of the service provided by the submissions feature. */
export const registryClientKey = new ServiceKey<RegistryClient>('registry-client');
