/** Service key of the readiness check. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {Readiness} from './readiness.js';

/** Registered by the wiring module, since several features add conditions. */
export const readinessKey = new ServiceKey<Readiness>('readiness');
