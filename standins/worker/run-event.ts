/** Events recorded by a worker's stand-in. */

/** The start or end of a run. `worker` names an incarnation, `at` is Unix time in milliseconds, `how` is empty for a start. */
export type RunEvent = {
	readonly at: number;
	readonly worker: string;
	readonly kind: 'start' | 'end';
	readonly how: string;
	readonly task: string;
	readonly attempt: number;
	readonly payload: string;
};
