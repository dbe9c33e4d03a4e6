/** Lists the remote targets with free capacity. */
import type {Pool} from '../pool/pool.js';
import type {RemoteTarget} from './remote-target.js';

/**
 * Returns the targets of other entries with at least this much free CPU, in thousandths of a core. Computed once per
 * placement pass, because under overload a search per task would scan every target and find none. Entries without a recent
 * heartbeat are skipped: tasks sent to a dead entry return only after its failure is detected.
 */
export function availableRemoteTargets(pool: Pool, leastCpuMillis: number): RemoteTarget[] {
	const available: RemoteTarget[] = [];
	for (const member of pool.members) {
		if (!pool.isFresh(member)) {
			continue;
		}

		for (const target of member.freeCapacity) {
			if (target.room.cpuMillis >= leastCpuMillis) {
				available.push({member, target});
			}
		}
	}

	return available;
}
