/** Lists the remote targets with free capacity. */
import type {Pool} from '../pool/pool.js';
import type {PoolMember} from '../pool/pool-member.js';
import type {RemoteTarget} from './remote-target.js';

/**
 * An upper bound of the free CPU of each target in a published list. Free capacity only shrinks until the next list, so that most
 * entries of a full fleet are skipped without a look at their targets.
 */
const largestCpuMillis = new WeakMap<PoolMember['freeCapacity'], number>();

/**
 * Returns the targets of other entries with at least this much free CPU, in thousandths of a core. Computed once per
 * placement pass, because under overload a search per task would scan every target and find none. Entries without a recent
 * heartbeat are skipped: tasks sent to a dead entry return only after its failure is detected.
 */
export function availableRemoteTargets(pool: Pool, leastCpuMillis: number): RemoteTarget[] {
	const available: RemoteTarget[] = [];
	for (const member of pool.members) {
		const {freeCapacity} = member;
		const bound = largestCpuMillis.get(freeCapacity);
		if (bound !== undefined && bound < leastCpuMillis) {
			continue;
		}

		const isFresh = pool.isFresh(member);
		let largest = 0;
		for (const target of freeCapacity) {
			const {cpuMillis} = target.room;
			largest = Math.max(largest, cpuMillis);
			if (isFresh && cpuMillis >= leastCpuMillis) {
				available.push({member, target});
			}
		}

		largestCpuMillis.set(freeCapacity, largest);
	}

	return available;
}
