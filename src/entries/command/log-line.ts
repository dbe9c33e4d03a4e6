/** A line of an edge daemon's log. */

/** What every line has, and the event's own fields. */
export type LogLine = {
	/** Where it was read: the file's name, or `-` for standard input. */
	readonly source: string;
	/** Time of day in milliseconds since the epoch. */
	readonly at: number;
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
};
