/** Makes the clock and the timers of a process exclude the time for which the soak suspended it. */
import {existsSync, readFileSync} from 'node:fs';

/** A longer gap between two readings of the clock may be a suspension. Entries read it every 100 ms. */
const longestUsualGap = 250;
/** Node.js may fire a timer this much early. */
const timerTolerance = 2;

/**
 * The file states the last suspension as its start and end in Unix milliseconds; it is written before the process continues.
 * The first reading after the suspension excludes it. Timers of `setTimeout` that become due meanwhile are armed again for
 * their remaining time. Timeouts of sockets, in Node.js itself, still count the suspension.
 */
export function excludeSuspensions(file: string): void {
	const readMonotonicTime = performance.now.bind(performance);
	const readUnixTime = Date.now.bind(Date);
	let excluded = 0;
	let last = {monotonic: readMonotonicTime(), unix: readUnixTime()};
	const now = () => {
		const monotonic = readMonotonicTime();
		if (monotonic - last.monotonic > longestUsualGap && existsSync(file)) {
			const [from = 0, to = 0] = readFileSync(file, 'utf8').split(' ').map(Number);
			excluded += Math.max(0, Math.min(to, readUnixTime()) - Math.max(from, last.unix));
		}

		last = {monotonic, unix: readUnixTime()};
		return monotonic - excluded;
	};

	performance.now = now;
	const {setTimeout: startTimer, clearTimeout: stopTimer} = globalThis;
	const extensions = new WeakMap<NodeJS.Timeout, NodeJS.Timeout>();
	const startExcludingTimer = (callback: () => void, milliseconds = 0) => {
		const dueAt = now() + milliseconds;
		const fire = () => {
			const remaining = dueAt - now();
			if (remaining > timerTolerance) {
				extensions.set(timer, startTimer(fire, remaining));
			} else {
				callback();
			}
		};

		const timer = startTimer(fire, milliseconds);
		return timer;
	};

	const stopExcludingTimer = (timer: NodeJS.Timeout | undefined) => {
		stopTimer(timer);
		stopTimer(timer && extensions.get(timer));
	};

	Object.assign(globalThis, {setTimeout: startExcludingTimer, clearTimeout: stopExcludingTimer});
}
