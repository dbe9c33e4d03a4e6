/** The clock of the operating system. */
import {performance} from 'node:perf_hooks';
import {Clock} from './clock.js';
import type {Disposable} from './disposable.js';

/** `now` reads CLOCK_MONOTONIC, which advances during SIGSTOP and garbage collection. */
export class SystemClock extends Clock {
	override now(): number {
		return performance.now();
	}

	override wallTime(): number {
		return Date.now();
	}

	override defer(callback: () => void): void {
		setImmediate(callback);
	}

	override schedule(delayMilliseconds: number, callback: () => void): Disposable {
		const timer = setTimeout(callback, Math.max(0, delayMilliseconds));
		return {
			dispose() {
				clearTimeout(timer);
			},
		};
	}
}
