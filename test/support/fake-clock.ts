/** Time that passes when a test says so. */
import {Clock} from '../../src/base/clock.js';
import type {Disposable} from '../../src/base/disposable.js';

type Timer = {readonly at: number; readonly order: number; readonly callback: () => void};

/** Starts at 1,000,000 ms; timers run in their order while `advance` passes them. */
export class FakeClock extends Clock {
	#now = 1_000_000;
	#order = 0;
	#wallAhead = 0;
	readonly #timers = new Set<Timer>();

	override now(): number {
		return this.#now;
	}

	override wallTime(): number {
		return this.#now + this.#wallAhead;
	}

	override schedule(delayMilliseconds: number, callback: () => void): Disposable {
		this.#order += 1;
		const timer = {at: this.#now + delayMilliseconds, order: this.#order, callback};
		this.#timers.add(timer);
		return {
			dispose: () => {
				this.#timers.delete(timer);
			},
		};
	}

	/** Lets time pass, with every timer that falls due. */
	advance(milliseconds: number): void {
		const end = this.#now + milliseconds;
		for (;;) {
			const next = this.#nextBefore(end);
			if (next === undefined) {
				break;
			}

			this.#timers.delete(next);
			this.#now = Math.max(this.#now, next.at);
			next.callback();
		}

		this.#now = end;
	}

	/** Lets time pass without running timers, as for a process that's stopped. */
	sleep(milliseconds: number): void {
		this.#now += milliseconds;
	}

	/** Sets the time of day forward, or lets a suspension pass that the steady clock doesn't count. */
	jumpWall(milliseconds: number): void {
		this.#wallAhead += milliseconds;
	}

	#nextBefore(end: number): Timer | undefined {
		const due = [...this.#timers].filter(timer => timer.at <= end);
		due.sort((left, right) => left.at - right.at || left.order - right.order);
		return due[0];
	}
}
