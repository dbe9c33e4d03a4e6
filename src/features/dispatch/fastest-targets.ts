/** The fastest targets that are known, with or without free capacity. */
import type {Executor} from '../execution/executor.js';
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {RunRequest} from '../execution/run-request.js';
import {satisfiesConstraints} from '../execution/satisfies-constraints.js';
import type {Pool} from '../pool/pool.js';
import {knownTargets} from './known-targets.js';

/** Finds the fastest target for a request; searches all targets once for each kind of constraints. Valid for one placement pass. */
export class FastestTargets {
	readonly #known = new Map<string, FreeCapacity | undefined>();

	constructor(private readonly executor: Executor, private readonly pool: Pool) {}

	/** Undefined if no target satisfies the constraints. */
	search(request: RunRequest): FreeCapacity | undefined {
		const {service, place, requiresNearData} = request;
		const key = JSON.stringify([service, place.label, requiresNearData ? place.nearLabel : undefined]);
		if (!this.#known.has(key)) {
			this.#known.set(key, this.#searchAll(request));
		}

		return this.#known.get(key);
	}

	#searchAll(request: RunRequest): FreeCapacity | undefined {
		let fastest: FreeCapacity | undefined;
		for (const target of knownTargets(this.executor, this.pool)) {
			const isMatching = target.service === request.service && satisfiesConstraints(request, target.labels);
			if (isMatching && (fastest === undefined || (target.slowdown ?? 1) < (fastest.slowdown ?? 1))) {
				fastest = target;
			}
		}

		return fastest;
	}
}
