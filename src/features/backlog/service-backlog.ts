/** Capacity and waiting work of one service. */
import type {QueueBacklog} from './queue-backlog.js';
import type {ServiceCapacity} from './service-capacity.js';

/** The figures of one entry, or the sum of several entries. */
export type ServiceBacklog = ServiceCapacity & {readonly queues: readonly QueueBacklog[]};
