/** Adds the figures of several entries. */
import type {ProfileName} from '../../base/profile-name.js';
import type {ServiceName} from '../../base/service-name.js';
import type {QueueBacklog} from './queue-backlog.js';
import type {ServiceBacklog} from './service-backlog.js';
import type {ServiceCapacity} from './service-capacity.js';

/** Returns one item for each service. */
export function sumBacklogs(parts: Iterable<readonly ServiceBacklog[]>): readonly ServiceBacklog[] {
	const capacities = new Map<ServiceName, ServiceCapacity>();
	const queues = new Map<ServiceName, Map<ProfileName, QueueBacklog>>();
	for (const services of parts) {
		for (const {queues: added, ...capacity} of services) {
			const {service} = capacity;
			capacities.set(service, sumCapacities(capacities.get(service), capacity));
			const sums = queues.get(service) ?? new Map<ProfileName, QueueBacklog>();
			queues.set(service, sums);
			for (const queue of added) {
				sums.set(queue.queue, sumQueues(sums.get(queue.queue), queue));
			}
		}
	}

	return [...capacities.values()].map(capacity => ({...capacity, queues: [...queues.get(capacity.service)!.values()]}));
}

function sumCapacities(left: ServiceCapacity | undefined, right: ServiceCapacity): ServiceCapacity {
	return left === undefined
		? right
		: {
			service: left.service,
			totalCpuMillis: left.totalCpuMillis + right.totalCpuMillis,
			freeCpuMillis: left.freeCpuMillis + right.freeCpuMillis,
			largestFreeCpuMillis: Math.max(left.largestFreeCpuMillis, right.largestFreeCpuMillis),
			endedTasks: left.endedTasks + right.endedTasks,
		};
}

function sumQueues(left: QueueBacklog | undefined, right: QueueBacklog): QueueBacklog {
	return left === undefined
		? right
		: {
			queue: left.queue,
			tasks: left.tasks + right.tasks,
			cpuMillis: left.cpuMillis + right.cpuMillis,
			coreMilliseconds: left.coreMilliseconds + right.coreMilliseconds,
			begunTasks: left.begunTasks + right.begunTasks,
			begunCoreMilliseconds: left.begunCoreMilliseconds + right.begunCoreMilliseconds,
			oldestMilliseconds: Math.max(left.oldestMilliseconds, right.oldestMilliseconds),
			laxityMilliseconds: sumLaxities(left, right),
		};
}

/** The smaller one; figures without a job that has not begun have none. */
function sumLaxities(left: QueueBacklog, right: QueueBacklog): number {
	const laxities = [left, right].filter(({tasks, begunTasks}) => tasks > begunTasks).map(({laxityMilliseconds}) => laxityMilliseconds);
	return laxities.length === 0 ? 0 : Math.min(...laxities);
}
