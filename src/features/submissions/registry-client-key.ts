/** The container's name for the registry of submissions. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {RegistryClient} from './registry-client.js';

/** Provided by the submissions feature. */
export const registryClientKey = new ServiceKey<RegistryClient>('registry-client');
