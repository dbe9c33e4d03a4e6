/** Time that passes when a test says so. */
import {Clock} from '../../src/base/clock.js';
import type {Disposable} from '../../src/base/disposable.js';

type Timer = {readonly at: number; readonly order: number; readonly callback: () => void; isDisposed: boolean};

/** Starts at 1,000,000 ms; timers run in their order while `advance` passes them. */
export class FakeClock extends Clock {
	#now = 1_000_000;
	#order = 0;
	#wallAhead = 0;
	/** A heap: each timer falls due no later than the two at twice its place and after. */
	readonly #timers: Timer[] = [];

	override now(): number {
		return this.#now;
	}

	override wallTime(): number {
		return this.#now + this.#wallAhead;
	}

	override schedule(delayMilliseconds: number, callback: () => void): Disposable {
		this.#order += 1;
		const timer = {
			at: this.#now + delayMilliseconds, order: this.#order, callback, isDisposed: false,
		};
		this.#add(timer);
		return {
			dispose() {
				timer.isDisposed = true;
			},
		};
	}

	/** Lets time pass, with every timer that falls due. */
	advance(milliseconds: number): void {
		const end = this.#now + milliseconds;
		while (this.#timers.length > 0 && this.#timers[0]!.at <= end) {
			const next = this.#takeFirst();
			if (!next.isDisposed) {
				this.#now = Math.max(this.#now, next.at);
				next.callback();
			}
		}

		this.#now = end;
	}

	/** Lets time pass without running timers, as for a process that's stopped. */
	sleep(milliseconds: number): void {
		this.#now += milliseconds;
	}

	/** Sets the time of day forward, or lets a suspension pass that the steady clock doesn't count. */
	advanceWallTime(milliseconds: number): void {
		this.#wallAhead += milliseconds;
	}

	#add(timer: Timer): void {
		const timers = this.#timers;
		let place = timers.length;
		while (place > 0) {
			const parent = Math.floor((place - 1) / 2);
			if (isBefore(timers[parent]!, timer)) {
				break;
			}

			timers[place] = timers[parent]!;
			place = parent;
		}

		timers[place] = timer;
	}

	#takeFirst(): Timer {
		const timers = this.#timers;
		const first = timers[0]!;
		const last = timers.pop()!;
		if (timers.length > 0) {
			this.#sink(last);
		}

		return first;
	}

	/** Puts a timer in the first one's place, or below it. */
	#sink(timer: Timer): void {
		const timers = this.#timers;
		let place = 0;
		for (;;) {
			const left = (2 * place) + 1;
			if (left >= timers.length) {
				break;
			}

			const right = left + 1;
			const child = right < timers.length && isBefore(timers[right]!, timers[left]!) ? right : left;
			if (isBefore(timer, timers[child]!)) {
				break;
			}

			timers[place] = timers[child]!;
			place = child;
		}

		timers[place] = timer;
	}
}

function isBefore(left: Timer, right: Timer): boolean {
	return left.at < right.at || (left.at === right.at && left.order < right.order);
}
