/** UNASKED, as far as it concerns cancelled jobs. */

/** The bounds of the small sites' sheets. */
const bounds = {cancelMilliseconds: 3000, killTimeoutMilliseconds: 50};

/**
 * The starts of a job's tasks later than `cancel_ms` after its cancelling was acknowledged, and its tasks that run on `kill_timeout_ms`
 * after that.
 */
export function unaskedRuns(runs, job, acknowledgedAt) {
	const startLimit = acknowledgedAt + bounds.cancelMilliseconds;
	const runLimit = startLimit + bounds.killTimeoutMilliseconds;
	return runs.filter(({task}) => task.startsWith(`${job}.`)).flatMap(({task, attempt, worker, startedAt, endedAt, how}) => {
		const details = {
			rule: 'UNASKED', task, attempt, worker, startedAfterAcknowledgement: startedAt - acknowledgedAt, endedAfterAcknowledgement: (endedAt ?? Number.NaN) - acknowledgedAt, how,
		};
		if (startedAt > startLimit) {
			return [{...details, what: 'started after cancel_ms'}];
		}

		return endedAt === undefined || endedAt > runLimit ? [{...details, what: 'runs on after cancel_ms and kill_timeout_ms'}] : [];
	});
}
