/** A clock that tests control. */
import {Clock} from '../../src/base/clock.js';
import type {Disposable} from '../../src/base/disposable.js';

type Timer = {readonly at: number; readonly sequence: number; readonly callback: () => void; isDisposed: boolean};

/** Starts at 1,000,000 ms; `advance` runs due timers in order of time, then of creation. */
export class FakeClock extends Clock {
	#now = 1_000_000;
	#sequence = 0;
	#wallOffset = 0;
	/** A binary min-heap by due time and creation order. */
	readonly #timers: Timer[] = [];

	override now(): number {
		return this.#now;
	}

	override wallTime(): number {
		return this.#now + this.#wallOffset;
	}

	override schedule(delayMilliseconds: number, callback: () => void): Disposable {
		this.#sequence += 1;
		const timer = {
			at: this.#now + delayMilliseconds, sequence: this.#sequence, callback, isDisposed: false,
		};
		this.#insert(timer);
		return {
			dispose() {
				timer.isDisposed = true;
			},
		};
	}

	/** Advances the time and runs every timer that becomes due. */
	advance(milliseconds: number): void {
		const end = this.#now + milliseconds;
		while (this.#timers.length > 0 && this.#timers[0]!.at <= end) {
			const next = this.#removeFirst();
			if (!next.isDisposed) {
				this.#now = Math.max(this.#now, next.at);
				next.callback();
			}
		}

		this.#now = end;
	}

	/** Advances the time without running timers, as for a stopped process. */
	sleep(milliseconds: number): void {
		this.#now += milliseconds;
	}

	/** Advances only the wall-clock time, as after a clock change or a suspension that the monotonic clock doesn't count. */
	advanceWallTime(milliseconds: number): void {
		this.#wallOffset += milliseconds;
	}

	#insert(timer: Timer): void {
		const timers = this.#timers;
		let index = timers.length;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (isBefore(timers[parent]!, timer)) {
				break;
			}

			timers[index] = timers[parent]!;
			index = parent;
		}

		timers[index] = timer;
	}

	#removeFirst(): Timer {
		const timers = this.#timers;
		const first = timers[0]!;
		const last = timers.pop()!;
		if (timers.length > 0) {
			this.#siftDown(last);
		}

		return first;
	}

	/** Inserts a timer at the root and moves it down to restore the heap order. */
	#siftDown(timer: Timer): void {
		const timers = this.#timers;
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			if (left >= timers.length) {
				break;
			}

			const right = left + 1;
			const child = right < timers.length && isBefore(timers[right]!, timers[left]!) ? right : left;
			if (isBefore(timer, timers[child]!)) {
				break;
			}

			timers[index] = timers[child]!;
			index = child;
		}

		timers[index] = timer;
	}
}

function isBefore(left: Timer, right: Timer): boolean {
	return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
}
