/** The outcome of an attempt of a task. */

/**
 * - `done`: the task succeeded.
 * - `failed`: the task ran and failed; `isTargetSuspect` if its target is ejected because of failures.
 * - `refused`: it wasn't started, and never will be; `outdated` if the owner lost contact with the requester after the request.
 * - `gone`: it may have run, and provably no longer does.
 *
 * Until one of these is reported, the attempt may still run.
 */
export type RunOutcome =
	| {readonly kind: 'done'; readonly target: string; readonly ranMilliseconds: number}
	| {readonly kind: 'failed'; readonly target: string; readonly isTargetSuspect: boolean}
	| {readonly kind: 'refused'; readonly cause: 'noRoom' | 'superseded' | 'targetRefused' | 'outdated'}
	| {readonly kind: 'gone'; readonly target: string; readonly cause: string};
