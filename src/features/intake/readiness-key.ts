/** The container's name for the readiness. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {Readiness} from './readiness.js';

/** Provided by the wiring module, since several features have a condition. */
export const readinessKey = new ServiceKey<Readiness>('readiness');
