/** Structured fields of a log line. */

/** Scalar values by field name; docs/EVENTS.md lists the fields of each event. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;
