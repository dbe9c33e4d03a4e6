/** The speed of a target. */

/** `slowdown` is how long the target takes relative to a normal one; the labels show whether it is near a task's data. */
export type TargetSpeed = {readonly slowdown: number; readonly labels: readonly string[]};
