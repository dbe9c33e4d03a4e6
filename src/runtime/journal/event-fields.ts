/** The structured part of a log line. */

/** Flat values by field name, as the event's row in docs/EVENTS.md lists them. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;
