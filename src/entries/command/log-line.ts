/** A parsed line of an edge daemon's log. */

/** The common fields of a line and those of its event. */
export type LogLine = {
	/** The file's name, or `-` for standard input. */
	readonly source: string;
	/** Wall-clock time in milliseconds since the epoch. */
	readonly at: number;
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
};
