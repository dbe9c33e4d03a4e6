/** Service key of the HTTP API server. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {ApiServer} from './api-server.js';

/** Registered by the intake feature; the daemon opens and closes the server. */
export const apiServerKey = new ServiceKey<ApiServer>('intake');
