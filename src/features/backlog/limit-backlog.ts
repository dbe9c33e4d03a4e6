/** Bounds the size of published figures. */
import {backlogLimits} from './backlog-limits.js';
import type {QueueBacklog} from './queue-backlog.js';
import type {ServiceBacklog} from './service-backlog.js';

/** Keeps the services with the most capacity, and of all their queues those with the most work. */
export function limitBacklog(services: readonly ServiceBacklog[]): readonly ServiceBacklog[] {
	const queues = services.flatMap(service => service.queues);
	if (services.length <= backlogLimits.services && queues.length <= backlogLimits.queues) {
		return services;
	}

	const kept = new Set<QueueBacklog>(queues.toSorted((left, right) => right.coreMilliseconds - left.coreMilliseconds).slice(0, backlogLimits.queues));
	return services.toSorted((left, right) => right.totalCpuMillis - left.totalCpuMillis)
		.slice(0, backlogLimits.services)
		.map(service => ({...service, queues: service.queues.filter(queue => kept.has(queue))}));
}
