/** A row of the event catalogue. */
import type {EventLevel} from './event-level.js';

/** The number never changes its meaning; a retired number isn't used again. */
export type EventDescription = {
	readonly number: number;
	readonly level: EventLevel;
	readonly meaning: string;
	readonly fields: readonly string[];
};
