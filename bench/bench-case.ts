/** A case of the benchmark. */
import type {Fleet} from '../fleet/fleet.js';
import type {FleetPlan} from '../fleet/fleet-plan.js';
import type {WorkloadOptions} from './workload-options.js';

/** What differs from the plain case; each case is one subclass that registers itself. */
export abstract class BenchCase {
	/** The load where the command line names none. */
	readonly load: number = 0.9;
	/** Copies of a job that a caller sends one after the other. */
	readonly copies: number = 1;
	/** Further copies of each job that are sent at the same time through other entries. */
	readonly simultaneousCopies: number = 0;

	abstract readonly name: string;
	abstract readonly meaning: string;

	fleetPlan(plan: FleetPlan): FleetPlan {
		return plan;
	}

	workload(options: WorkloadOptions): WorkloadOptions {
		return options;
	}

	/** TOML keys of a profile besides its name. */
	profile(_name: string): string {
		return '';
	}

	/** Runs beside the load, and ends before it does. */
	async disturb(_fleet: Fleet, _seconds: number): Promise<void> {
		// Nothing happens in the plain case.
	}
}
