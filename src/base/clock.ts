/** Abstract clock, which tests replace. */
import type {Disposable} from './disposable.js';

/** Source of time and timers for all code that waits or compares times. */
export abstract class Clock {
	/** Calls back after the events of the current turn have been handled. */
	defer(callback: () => void): void {
		this.schedule(0, callback);
	}

	/** Monotonic time in milliseconds from an arbitrary origin; advances while the process is stopped. */
	abstract now(): number;

	/** Unix time in milliseconds; may jump, so use it only to interpret timestamps from other machines. */
	abstract wallTime(): number;

	/** Calls back once after the delay in milliseconds, unless the returned registration is disposed of first. */
	abstract schedule(delayMilliseconds: number, callback: () => void): Disposable;
}
