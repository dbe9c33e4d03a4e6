/** Counts the known free places for a job. */
import type {Executor} from '../execution/executor.js';
import {satisfiesConstraints} from '../execution/satisfies-constraints.js';
import type {Pool} from '../pool/pool.js';
import type {BestEffortJob} from './best-effort-job.js';
import {knownTargets} from './known-targets.js';

/** Looks at the targets of this entry and of the peers that can be sent tasks now. */
export class FreePlaces {
	constructor(private readonly executor: Pick<Executor, 'freeCapacity'>, private readonly pool: Pick<Pool, 'members' | 'isFresh'>) {}

	/** How many tasks of a job could start now, up to the number of its tasks. */
	count(job: BestEffortJob): number {
		let places = 0;
		for (const {service, labels, room} of knownTargets(this.executor, this.pool)) {
			if (service !== job.route.service || !satisfiesConstraints({place: job.shape.place, requiresNearData: false}, labels)) {
				continue;
			}

			for (let left = room; places < job.shape.count && job.shape.need.fitsInto(left); left = left.minus(job.shape.need)) {
				places += 1;
			}
		}

		return places;
	}
}
