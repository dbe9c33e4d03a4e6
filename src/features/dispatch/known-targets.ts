/** Targets that tasks can be placed on now. */
import type {Executor} from '../execution/executor.js';
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {Pool} from '../pool/pool.js';

/** Iterates over the targets of this entry and of the peers that can be sent tasks, with or without free capacity. */
export function * knownTargets(executor: Pick<Executor, 'freeCapacity'>, pool: Pick<Pool, 'members' | 'isFresh'>): Iterable<FreeCapacity> {
	yield * executor.freeCapacity;
	for (const member of pool.members) {
		if (pool.isFresh(member)) {
			yield * member.freeCapacity;
		}
	}
}
