/** Data that JSON can carry. */

/** A caller's payload or a target's answer, passed on unread. */
export type JsonValue = string | number | boolean | null | readonly JsonValue[] | {readonly [key: string]: JsonValue}; // eslint-disable-line @typescript-eslint/no-restricted-types
