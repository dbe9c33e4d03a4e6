/** Encodes backlogs for the pool. */
import type {BacklogReport} from '../backlog/backlog-report.js';
import type {QueueBacklog} from '../backlog/queue-backlog.js';
import type {ServiceBacklog} from '../backlog/service-backlog.js';

/** Positional lists of texts and whole numbers, decoded by `decodeBacklog`. */
export function encodeBacklog({own, zones}: BacklogReport): readonly unknown[] {
	return [own?.map(service => encodeService(service)), zones.map(({zone, ageMilliseconds, services}) => [
		zone, Math.round(ageMilliseconds), services.map(service => encodeService(service)),
	])];
}

function encodeService({service, queues, ...capacity}: ServiceBacklog): readonly unknown[] {
	return [
		service,
		...[capacity.totalCpuMillis, capacity.freeCpuMillis, capacity.largestFreeCpuMillis, capacity.endedTasks].map(amount => encodeAmount(amount)),
		queues.map(queue => encodeQueue(queue)),
	];
}

function encodeQueue({queue, ...amounts}: QueueBacklog): readonly unknown[] {
	const {tasks, cpuMillis, coreMilliseconds, begunTasks, begunCoreMilliseconds, oldestMilliseconds, laxityMilliseconds} = amounts;
	return [queue, ...[tasks, cpuMillis, coreMilliseconds, begunTasks, begunCoreMilliseconds, oldestMilliseconds, laxityMilliseconds].map(amount => encodeAmount(amount))];
}

function encodeAmount(amount: number): number {
	return Math.max(0, Math.round(amount));
}
