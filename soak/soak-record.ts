/** Observations of the callers, workers and operator of a soak, which the invariants check. */
import type {RunEvent} from '../standins/worker/run-event.js';
import type {Attempt} from './attempt.js';

/** A job as submitted by its caller; `attempts` are in the order of sending. */
type SoakJob = {
	readonly id: string;
	readonly tasks: number;
	readonly payload: string;
	readonly attempts: Attempt[];
};

/** Response of an entry to a request that tests whether it has a route. */
type RouteProbe = {
	readonly entry: string;
	readonly life: number;
	readonly prefix: string;
	readonly sentAt: number;
	readonly status: number;
};

/** A configuration change. `ackedAt` is `Infinity` if the store did not acknowledge it, so that it may or may not apply. */
type Publication = {readonly version: number; readonly ackedAt: number; readonly prefixes: ReadonlySet<string>};

/** A fault or planned maintenance. `entry` is `undefined` if it affects no single entry; `to` is `Infinity` while active. */
type Disturbance = {
	readonly kind: string;
	readonly entry: string | undefined;
	readonly isPlanned: boolean;
	readonly isOfStore: boolean;
	readonly from: number;
	to: number;
};

/** Times are wall-clock milliseconds. */
export type SoakRecord = {
	readonly jobs: SoakJob[];
	runs: readonly RunEvent[];
	readonly probes: RouteProbe[];
	readonly publications: Publication[];
	readonly disturbances: Disturbance[];
	readonly drains: Array<{readonly worker: string; readonly ackedAt: number}>;
	/** Unexpected process exits. */
	readonly exits: string[];
	/** Unhandled errors and messages of peers that could not be decoded, as logged. */
	readonly defects: string[];
	/** Runs that an entry started for an entry of the other bundle. */
	runsAcrossBundles: number;
	/** Tasks still running after all callers have finished and all faults have ended. */
	leftovers: readonly string[];
	/** When the last fault was reverted. */
	healedAt: number;
};
