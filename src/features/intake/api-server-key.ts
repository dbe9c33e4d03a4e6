/** The container's name for the HTTP interface. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {ApiServer} from './api-server.js';

/** Provided by the intake feature; the daemon opens and closes it. */
export const apiServerKey = new ServiceKey<ApiServer>('intake');
