/** Severity levels of events. */

/** From least to most severe; an `alarm` requires operator action, see docs/operations/alarms.md. */
export type EventLevel = 'detail' | 'notice' | 'warning' | 'alarm';
