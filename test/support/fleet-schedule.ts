/** Faults and load for a simulated fleet that is too large for a full mesh. */
import type {ResumeOptions} from './resume-options.js';

/** Entries that are suspended together; their time of day can be set back meanwhile, so that it shows no gap. */
type Suspension = {
	readonly at: number;
	readonly entries: ReadonlyArray<{
		readonly entry: number;
		readonly delayMilliseconds: number;
		readonly durationMilliseconds: number;
		readonly resume: ResumeOptions;
		readonly isMasked: boolean;
		/** Whether replies of targets that arrived during the suspension are lost. */
		readonly losesReplies: boolean;
	}>;
};

/** Entries whose time of day steps by a number of milliseconds, and back later. */
type ClockStep = {readonly at: number; readonly entries: readonly number[]; readonly milliseconds: number; readonly durationMilliseconds: number};

/** An entry that reads everything late and whose timers are late. */
type Slowdown = {readonly at: number; readonly entry: number; readonly delayMilliseconds: number; readonly durationMilliseconds: number};

/** A target that receives no stops, while it executes other orders. */
type LostStops = {readonly at: number; readonly target: number; readonly durationMilliseconds: number};

/** A caller that submits one job, trying the given entries in order. */
type FleetCaller = {
	readonly at: number;
	readonly tasks: number;
	readonly runMilliseconds: number;
	readonly timeoutMilliseconds: number;
	/** Whether later submissions state the time that is left of the first one's timeout. */
	readonly statesRemainingTime: boolean;
	/** Whether the caller's connection breaks when its entry is suspended. */
	readonly breaksOnSuspension: boolean;
	/** Whether a suspended entry never sees that the caller has hung up meanwhile. */
	readonly isSilent: boolean;
	readonly entries: readonly [number, number, number];
	/** When the caller's connection breaks, for each attempt, from its submission; undefined if it doesn't break. */
	readonly disconnectTimes: ReadonlyArray<number | undefined>;
};

/** Times are in milliseconds; entries and targets are given by index, modulo their number. */
export type FleetSchedule = {
	readonly entryCount: number;
	readonly targetsInZone: number;
	/** Whether the entries know each other from a list, as from a directory, or all have met. */
	readonly isListed: boolean;
	readonly closesIdleConnections: boolean;
	readonly backgroundTasks: number;
	readonly suspensions: readonly Suspension[];
	readonly clockSteps: readonly ClockStep[];
	readonly slowdowns: readonly Slowdown[];
	readonly lostStops: readonly LostStops[];
	readonly callers: readonly FleetCaller[];
};
