/** Faults and load for a simulated cluster. */
import type {ResumeOptions} from './resume-options.js';

/** What happens to the peer connections of a paused entry. */
type Disconnection = {
	/** Bit mask of the affected peers, by entry index. */
	readonly peers: number;
	/** `reset`: both ends notice at once; `silent`: messages are lost until the peer detects the failure. */
	readonly kind: 'reset' | 'silent';
	/** Time from the start of the pause. */
	readonly delayMilliseconds: number;
	/** Whether messages that the entry hasn't read are lost. */
	readonly dropsUnread: boolean;
	/** Time from the end of the pause until the entry reconnects to its peers. */
	readonly ownRedialDelay: number;
	/** Time from the end of the pause until the peers reconnect to the entry. */
	readonly peersRedialDelay: number;
};

type Pause = {readonly at: number; readonly entry: number; readonly durationMilliseconds: number; readonly resume: ResumeOptions; readonly disconnection: Disconnection};

/** A reset of the connection between two running entries. */
type Reset = {readonly at: number; readonly entry: number; readonly other: number; readonly redialDelay: number};

type TargetFault = {
	readonly at: number;
	readonly target: number;
	readonly durationMilliseconds: number;
	readonly kind: 'late' | 'silent' | 'loses answers' | 'loses reports' | 'loses start answers' | 'loses starts' | 'refuses' | 'restarts';
	readonly startDelay: number;
};

/** An entry that leaves gracefully or is killed. */
type Departure = {readonly at: number; readonly entry: number; readonly kind: 'leave' | 'kill'};

/** A caller that submits one job, trying the given entries in order. */
type ScheduledCaller = {
	readonly at: number;
	readonly tasks: number;
	readonly runMilliseconds: number;
	readonly timeoutMilliseconds: number;
	readonly entries: readonly [number, number, number];
	/** When the caller's connection breaks, for each attempt, from its submission; undefined if it doesn't break. */
	readonly disconnectTimes: ReadonlyArray<number | undefined>;
};

/** Times are in milliseconds from the start unless stated otherwise; entries and targets are given by index. */
export type FaultSchedule = {
	readonly pauses: readonly Pause[];
	readonly resets: readonly Reset[];
	readonly targetFaults: readonly TargetFault[];
	readonly departures: readonly Departure[];
	readonly callers: readonly ScheduledCaller[];
};
