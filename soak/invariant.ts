/** Contract of the checks on a soak record. */
import type {SoakRecord} from './soak-record.js';

/** A property that must hold for a whole soak. */
export abstract class Invariant {
	/** The property, as printed in reports. */
	abstract readonly name: string;
	/** Whether it depends on a time limit, so that an overloaded machine can violate it. */
	abstract readonly isTimed: boolean;

	/** Describes each violation; empty if the invariant holds. */
	abstract violations(record: SoakRecord): readonly string[];
}
