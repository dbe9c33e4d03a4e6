/** The runs of tasks, from what the workers saw. */

/**
 * Pairs the workers' events into runs: each has a task, an attempt, a worker, a start, and an end unless it still runs. All times are
 * times of day in milliseconds.
 */
export function runsOf(events) {
	const open = new Map();
	const runs = [];
	for (const {kind, task, attempt, worker, how, at} of events) {
		const key = `${worker} ${task} ${attempt}`;
		if (kind === 'start') {
			const run = {
				task, attempt, worker, startedAt: at, endedAt: undefined, how: undefined,
			};
			open.set(key, run);
			runs.push(run);
		} else {
			Object.assign(open.get(key) ?? {}, {endedAt: at, how});
			open.delete(key);
		}
	}

	return runs;
}
