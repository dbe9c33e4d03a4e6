/** A promise that can be checked on what callers, workers and operator saw. */
import type {SoakRecord} from './soak-record.js';

/** Holds for a whole soak or names each case in which it didn't. */
export abstract class Invariant {
	abstract readonly name: string;
	/** Whether a busy machine alone can break it, since it names a time. */
	abstract readonly isTimed: boolean;

	abstract violations(record: SoakRecord): readonly string[];
}
