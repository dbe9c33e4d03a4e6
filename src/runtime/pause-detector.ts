/** Notices that the process stood still. */
import type {Clock} from '../base/clock.js';
import type {Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {repeat} from '../base/repeat.js';
import {wait} from '../base/wait.js';
import type {Pause} from './pause.js';
import type {ClockGap} from './clock-gap.js';

const checkMilliseconds = 100;
/** Callers submit elsewhere no sooner after a loss. */
const resubmissionMilliseconds = 1200;
/** Above what a busy event loop or a slow machine delays a timer by, below the time after which others take an entry as lost. */
const pauseMilliseconds = 500;

/** Some rounds of the event loop of a slow machine that has much to read: what had arrived during the pause is read by then. */
const wakingMilliseconds = 60;

/**
 * Compares both clocks with the timer's period. A machine that is suspended stops its steady clock, and only the time of day
 * shows the gap; a stopped process shows it on both. A time of day that was set forward looks the same as a suspension, and
 * listeners have to take that well: the event says that something may have been missed, not that it was.
 */
export class PauseDetector implements Disposable {
	readonly #pause = new Emitter<Pause>();
	readonly #standstill = new Emitter<number>();
	readonly #timer: Disposable;
	#steady: number;
	#wall: number;
	#wokeAt = Number.NEGATIVE_INFINITY;
	#stoodStillAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock) {
		this.#steady = clock.now();
		this.#wall = clock.wallTime();
		this.#timer = repeat(clock, checkMilliseconds, () => {
			this.check();
		});
	}

	/** Whether the process may just have stood still: what it believes isn't to be acted on. */
	get isResuming(): boolean {
		return this.clock.now() < this.#wokeAt + wakingMilliseconds;
	}

	/** Fires after what may have been a pause. */
	get onDidPause() {
		return this.#pause.event;
	}

	/** Fires where a pause is certain, and as long as that others have gone on without this process; before anything that follows. */
	get onDidConfirmPause() {
		return this.#standstill.event;
	}

	/** Compares the clocks now: after a pause messages may be read before the timer has fired. */
	check(): void {
		const now = this.clock.now();
		const wall = this.clock.wallTime();
		const counted = now - this.#steady;
		const elapsed = Math.max(counted, wall - this.#wall);
		this.#steady = now;
		this.#wall = wall;
		if (elapsed > pauseMilliseconds) {
			this.#wokeAt = now;
			this.#pause.fire({milliseconds: elapsed, monotonicMilliseconds: counted});
		}

		if (counted > resubmissionMilliseconds) {
			this.#standStill(counted);
		}
	}

	/** Others say that this process was gone: until it's known better it may have stood still. */
	suspectPause(): void {
		this.#wokeAt = this.clock.now();
	}

	/** Takes how another machine's steady clock compares; several of them show the same pause. */
	reportClockGap({milliseconds, since}: ClockGap): void {
		if (milliseconds > resubmissionMilliseconds && since > this.#stoodStillAt) {
			this.#standStill(milliseconds);
		}
	}

	/**
	 * Resolves at once, but some time after a pause. What is read just after a pause may have been sent long before: whoever
	 * sent it may have given up since, which shows when the end of the connection is read as well.
	 */
	async whenResumed(): Promise<void> {
		this.check();
		const left = this.#wokeAt + wakingMilliseconds - this.clock.now();
		if (left > 0) {
			await wait(this.clock, left);
		}
	}

	dispose(): void {
		this.#timer.dispose();
		this.#pause.dispose();
		this.#standstill.dispose();
	}

	#standStill(milliseconds: number): void {
		this.#stoodStillAt = this.clock.now();
		this.#standstill.fire(milliseconds);
	}
}
