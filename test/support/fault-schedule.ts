/** What happens in a world whose entries stand still. */
import type {ResumeOptions} from './resume-options.js';

/** What becomes of an entry's connections to the others while it stands still. */
type Breakage = {
	/** A bit for each entry, by its place among the names. */
	readonly peers: number;
	/** `reset`: both ends see it at once; `silent`: messages are lost for a while, then the other end finds it so. */
	readonly how: 'reset' | 'silent';
	/** From the begin of the pause. */
	readonly after: number;
	/** Whether what the entry hasn't read is lost. */
	readonly losesUnread: boolean;
	/** From the end of the pause until the entry's own connections, and the others' to it, are made anew. */
	readonly ownAfter: number;
	readonly othersAfter: number;
};

type Pause = {readonly at: number; readonly entry: number; readonly lasts: number; readonly waking: ResumeOptions; readonly breakage: Breakage};

/** A connection between two entries that run. */
type Reset = {readonly at: number; readonly entry: number; readonly other: number; readonly redialAfter: number};

type TargetFault = {
	readonly at: number;
	readonly target: number;
	readonly lasts: number;
	readonly how: 'late' | 'silent' | 'loses answers' | 'loses reports' | 'loses start answers' | 'loses starts' | 'refuses' | 'restarts';
	readonly late: number;
};

/** An entry that leaves in an orderly way, or is killed. */
type Departure = {readonly at: number; readonly entry: number; readonly how: 'leave' | 'kill'};

/** A caller with its job; it goes to the entries in their order. `patience` of 0 means the shortest. */
type CallerPlan = {
	readonly at: number;
	readonly tasks: number;
	readonly runs: number;
	readonly patience: number;
	readonly entries: readonly [number, number, number];
	/** When the caller loses each of its connections, from its submission; undefined where it doesn't. */
	readonly losses: ReadonlyArray<number | undefined>;
};

/** Times in milliseconds from the start, where nothing else is said. Entries and targets by their numbers. */
export type FaultSchedule = {
	readonly pauses: readonly Pause[];
	readonly resets: readonly Reset[];
	readonly targetFaults: readonly TargetFault[];
	readonly departures: readonly Departure[];
	readonly callers: readonly CallerPlan[];
};
