/** Keys of runs. */

/** Returns a key that is unique to an attempt of a task. */
export function runKeyOf({task, attempt}: {readonly task: string; readonly attempt: number}): string {
	return `${task}#${attempt}`;
}
