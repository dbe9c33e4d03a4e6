/** Everything that a soak's callers, workers and operator saw. */
import type {RunEvent} from '../standins/worker/run-event.js';
import type {Attempt} from './attempt.js';

/** A job as its caller knows it; `entries` of `attempts` are in the order of sending. */
type SoakJob = {
	readonly id: string;
	readonly tasks: number;
	readonly payload: string;
	readonly attempts: Attempt[];
};

/** A question whether an entry has a route, and its answer. */
type RouteProbe = {
	readonly entry: string;
	readonly life: number;
	readonly prefix: string;
	readonly sentAt: number;
	readonly status: number;
};

/** `ackedAt` is `Infinity` where the store's answer didn't come: it may be in force, or never be. */
type Publication = {readonly version: number; readonly ackedAt: number; readonly prefixes: ReadonlySet<string>};

/**
 * A fault or planned work, from its begin to its end. `entry` is absent where it isn't one entry's own; `to` is
 * `Infinity` while it goes on.
 */
type Disturbance = {
	readonly kind: string;
	readonly entry: string | undefined;
	readonly isPlanned: boolean;
	readonly isOfStore: boolean;
	readonly from: number;
	to: number;
};

/** Wall times in milliseconds. */
export type SoakRecord = {
	readonly jobs: SoakJob[];
	runs: readonly RunEvent[];
	readonly probes: RouteProbe[];
	readonly publications: Publication[];
	readonly disturbances: Disturbance[];
	readonly drains: Array<{readonly worker: string; readonly ackedAt: number}>;
	/** Processes that ended though nobody ended them. */
	readonly exits: string[];
	/** Errors that reached the top of a process. */
	readonly defects: string[];
	/** Tasks that ran after all callers were gone and all faults were over. */
	leftovers: readonly string[];
	healedAt: number;
};
