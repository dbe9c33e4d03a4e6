/** Names of runs. */

/** One key for each attempt of each task. */
export function runKeyOf({task, attempt}: {readonly task: string; readonly attempt: number}): string {
	return `${task}#${attempt}`;
}
