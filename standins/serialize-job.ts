/** JSON encoding of submitted jobs. */

/** A job of identical tasks. */
type Job = {readonly tasks: number; readonly payload: string; readonly expectedMilliseconds: number};

/** Returns the request body of a submission. */
export function serializeJob({tasks, payload, expectedMilliseconds}: Job): string {
	return JSON.stringify({
		spec: payload, best_effort: true, steps: [{
			count: tasks, cpu: 27_000, mem_mb: 64, est_runtime_ms: expectedMilliseconds,
		}],
	});
}
