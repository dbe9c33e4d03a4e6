/** Comparison of the submissions of a job. */

/** Callers resubmit after 1300 ms; copies of one submission that a balancer sends to two entries are closer. */
const leastDifferenceMilliseconds = 200;

/** Whether a submission with the first timeout is later than one with the second: the later one has less time left. */
export function isLaterSubmission(timeoutMilliseconds: number, otherMilliseconds: number): boolean {
	return otherMilliseconds - timeoutMilliseconds >= leastDifferenceMilliseconds;
}
