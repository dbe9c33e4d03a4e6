/** The figures of this entry. */
import type {ServiceBacklog} from './service-backlog.js';
import type {ServiceCapacity} from './service-capacity.js';
import type {WaitingWork} from './waiting-work.js';

/** Combines the capacity of the owned targets with the waiting work, also of services without an owned target. */
export function ownBacklog(capacities: readonly ServiceCapacity[], waiting: WaitingWork, now: number): readonly ServiceBacklog[] {
	const owned = new Set(capacities.map(({service}) => service));
	const others = [...waiting.services].filter(service => !owned.has(service)).map(service => ({
		service, totalCpuMillis: 0, freeCpuMillis: 0, largestFreeCpuMillis: 0, endedTasks: 0,
	}));
	return [...capacities, ...others].map(capacity => ({...capacity, queues: waiting.queuesOf(capacity.service, now)}));
}
