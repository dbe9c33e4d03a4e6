/** The description of one event. */
import type {EventLevel} from './event-level.js';

/** A row of the event catalogue. Numbers are stable: the number of a removed event is not reused. */
export type EventDescription = {
	readonly number: number;
	readonly level: EventLevel;
	readonly meaning: string;
	readonly fields: readonly string[];
};
