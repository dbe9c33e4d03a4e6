/** How much an event matters to an operator. */

/** `alarm` asks for an operator; docs/operations/alarms.md says what to do. */
export type EventLevel = 'detail' | 'notice' | 'warning' | 'alarm';
