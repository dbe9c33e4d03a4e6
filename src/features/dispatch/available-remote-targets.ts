/** Which targets of other entries are worth looking at. */
import type {Pool} from '../pool/pool.js';
import type {RemoteTarget} from './remote-target.js';

/**
 * Targets that could take a task of so much processor. Found once for all waiting tasks: in an overload nearly every target is
 * too full for any of them, and searching all of them again for each task finds nothing each time. An
 * entry that isn't fresh may be gone: what is sent there comes back only when it's taken as lost, which is too late for
 * most tasks.
 */
export function availableRemoteTargets(pool: Pool, leastCpuMillis: number): RemoteTarget[] {
	const open: RemoteTarget[] = [];
	for (const member of pool.members) {
		if (!pool.isFresh(member)) {
			continue;
		}

		for (const share of member.freeCapacity) {
			if (share.room.cpuMillis >= leastCpuMillis) {
				open.push({member, target: share});
			}
		}
	}

	return open;
}
