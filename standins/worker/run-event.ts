/** What really happened on a worker's stand-in. */

/** `worker` names one of a worker's lives. `at` is wall time in milliseconds; `how` is empty for a start. */
export type RunEvent = {
	readonly at: number;
	readonly worker: string;
	readonly kind: 'start' | 'end';
	readonly how: string;
	readonly task: string;
	readonly attempt: number;
	readonly payload: string;
};
