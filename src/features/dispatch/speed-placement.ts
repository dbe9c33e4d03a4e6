/** Choice of a target by the speeds of all targets. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Random} from '../../base/random.js';
import type {Executor} from '../execution/executor.js';
import type {FreeCapacity} from '../execution/free-capacity.js';
import type {RunRequest} from '../execution/run-request.js';
import type {TargetOffer} from '../execution/target-offer.js';
import {TargetPreference} from '../execution/target-preference.js';
import type {TargetSpeed} from '../execution/target-speed.js';
import type {Pool} from '../pool/pool.js';
import {canRun} from './can-run.js';
import {chooseRemoteTarget} from './choose-remote-target.js';
import {FastestTargets} from './fastest-targets.js';
import type {RemoteTarget} from './remote-target.js';

/**
 * - `started`: the task was started on a target of this entry.
 * - `remote`: the request has to be sent to the owner of the target.
 * - `later`: a faster target is known; the task should wait for it for that time.
 * - `noRoom`: no eligible target has enough free capacity.
 */
type Placement =
	| {readonly kind: 'started'}
	| {readonly kind: 'remote'; readonly choice: RemoteTarget; readonly request: RunRequest}
	| {readonly kind: 'later'; readonly milliseconds: number}
	| {readonly kind: 'noRoom'};

/** The best target of this entry, and the best of others. */
type LateOptions = {
	readonly local: TargetOffer | undefined;
	readonly choice: RemoteTarget | undefined;
	readonly preference: TargetPreference;
	readonly waitedMilliseconds: number;
};

/** Dependencies of `SpeedPlacement`. */
type SpeedPlacementDependencies = {
	readonly zone: AvailabilityZone;
	readonly executor: Executor;
	readonly pool: Pool;
	readonly random: Random;
};

/**
 * Prefers targets on which the task is in time: those of this entry, then those of others. A task that would be late on all
 * targets with free capacity waits for a faster one for a limited time, and then takes the fastest. Valid for one placement pass.
 */
export class SpeedPlacement {
	readonly #fastest: FastestTargets;

	constructor(private readonly dependencies: SpeedPlacementDependencies) {
		this.#fastest = new FastestTargets(dependencies.executor, dependencies.pool);
	}

	/** Starts the task on a target of this entry, or returns what to do with it. */
	place(request: RunRequest, available: readonly RemoteTarget[], waitedMilliseconds: number): Placement {
		const {zone, executor, pool, random} = this.dependencies;
		const local = executor.offer(request, pool.self);
		if (local?.isInTime) {
			local.accept();
			return {kind: 'started'};
		}

		const preference = new TargetPreference(request, request.millisecondsToObjective ?? 0);
		const remote = preference.select(available.filter(choice => canRun(choice, request)), ({target}) => speedOf(target));
		const choice = chooseRemoteTarget(remote.targets, request, zone, random);
		if (choice !== undefined && remote.isInTime) {
			return {kind: 'remote', choice, request};
		}

		return this.#placeLate(request, {
			local, choice, preference, waitedMilliseconds,
		});
	}

	/** Places a task that is in time on no target with free capacity. */
	#placeLate(request: RunRequest, {local, choice, preference, waitedMilliseconds}: LateOptions): Placement {
		const remote = choice === undefined ? undefined : speedOf(choice.target);
		const isRemote = remote !== undefined && (local === undefined || preference.isFaster(remote, local));
		const best = isRemote ? remote : local;
		if (best === undefined) {
			return {kind: 'noRoom'};
		}

		const fastest = this.#fastest.search(request);
		const milliseconds = fastest === undefined ? 0 : preference.waitMilliseconds(speedOf(fastest), best, waitedMilliseconds);
		if (milliseconds > 0) {
			return {kind: 'later', milliseconds};
		}

		if (isRemote) {
			return {kind: 'remote', choice: choice!, request: {...request, millisecondsToObjective: 0}};
		}

		local!.accept();
		return {kind: 'started'};
	}
}

function speedOf({slowdown = 1, labels}: FreeCapacity): TargetSpeed {
	return {slowdown, labels};
}
