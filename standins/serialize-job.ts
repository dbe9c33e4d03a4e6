/** A caller's job on the wire. */

/** A job of equal tasks. */
type Job = {readonly tasks: number; readonly payload: string; readonly expectedMilliseconds: number};

/** The body of a submission. */
export function serializeJob({tasks, payload, expectedMilliseconds}: Job): string {
	return JSON.stringify({
		spec: payload, best_effort: true, steps: [{
			count: tasks, cpu: 27_000, mem_mb: 64, est_runtime_ms: expectedMilliseconds,
		}],
	});
}
