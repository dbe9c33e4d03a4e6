/** What the targets of an entry can do. */
import type {ServiceName} from '../../base/service-name.js';
import type {ServiceCapacity} from '../backlog/service-capacity.js';
import type {TargetHealth} from '../placement/target-health.js';
import type {TargetSession} from './target-session.js';

/** Returns the sums over the healthy targets of each service, without the ended tasks. */
export function serviceCapacities(sessions: Iterable<TargetSession>, health: TargetHealth, now: number): ReadonlyArray<Omit<ServiceCapacity, 'endedTasks'>> {
	const sums = new Map<ServiceName, {-readonly [Key in keyof Omit<ServiceCapacity, 'endedTasks'>]: ServiceCapacity[Key]}>();
	for (const session of sessions) {
		const {target, isReachable} = session;
		if (!isReachable || target.isDraining || !['fit', 'slow'].includes(health.condition(target.id, now))) {
			continue;
		}

		const {service, capacity} = target;
		const sum = sums.get(service) ?? {
			service, totalCpuMillis: 0, freeCpuMillis: 0, largestFreeCpuMillis: 0,
		};
		sums.set(service, sum);
		sum.totalCpuMillis += capacity.cpuMillis;
		if (session.isOpen) {
			const free = Math.max(0, session.freeCapacity.cpuMillis);
			sum.freeCpuMillis += free;
			sum.largestFreeCpuMillis = Math.max(sum.largestFreeCpuMillis, free);
		}
	}

	return [...sums.values()];
}
