/** Time as the code sees it, so that tests decide how it passes. */
import type {Disposable} from './disposable.js';

/** A source of time and timers. Everything that waits or compares times takes one. */
export abstract class Clock {
	/** Calls back once everything that is being handled now has been handled, without a wait. */
	defer(callback: () => void): void {
		this.schedule(0, callback);
	}

	/** Monotonic time in milliseconds from an arbitrary start; goes on while the process is paused. */
	abstract now(): number;

	/** Time of day in milliseconds since the epoch; may jump, and serves only to read times made elsewhere. */
	abstract wallTime(): number;

	/** Calls back once after a number of milliseconds, unless disposed of first. */
	abstract schedule(delayMilliseconds: number, callback: () => void): Disposable;
}
