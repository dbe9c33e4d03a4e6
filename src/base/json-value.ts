/** JSON values. */

/** A caller's payload or a target's answer, forwarded without interpretation. */
export type JsonValue = string | number | boolean | null | readonly JsonValue[] | {readonly [key: string]: JsonValue}; // eslint-disable-line @typescript-eslint/no-restricted-types
