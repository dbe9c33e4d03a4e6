/** Branded type of a service name. */
import type {Brand} from './brand.js';

/** Name of a service, the group of targets that run the tasks of a queue. */
export type ServiceName = Brand<string, 'ServiceName'>;
