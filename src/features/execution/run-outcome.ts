/** How an attempt of a task ended. */

/**
 * - `done`: the task ended well.
 * - `failed`: it ran and failed; `isTargetSuspect` where the target fails more than this task does elsewhere.
 * - `refused`: it wasn't started, and never will be; `outdated` where its owner has lost the entry that asked since it did.
 * - `gone`: it may have run for a while, and provably does no more.
 *
 * While none of these came, the attempt may still run.
 */
export type RunOutcome =
	| {readonly kind: 'done'; readonly target: string; readonly ranMilliseconds: number}
	| {readonly kind: 'failed'; readonly target: string; readonly isTargetSuspect: boolean}
	| {readonly kind: 'refused'; readonly cause: 'noRoom' | 'superseded' | 'targetRefused' | 'outdated'}
	| {readonly kind: 'gone'; readonly target: string; readonly cause: string};
