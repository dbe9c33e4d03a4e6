/** Notices that the process stood still. */
import type {Clock} from '../base/clock.js';
import type {Disposable} from '../base/disposable.js';
import {Emitter} from '../base/emitter.js';
import {repeat} from '../base/repeat.js';

const checkMilliseconds = 100;
/** Above what a busy event loop or a slow machine delays a timer by, below the time after which others take an entry as lost. */
const pauseMilliseconds = 500;

/**
 * Compares both clocks with the timer's period. A machine that is suspended stops its steady clock, and only the time of day
 * shows the gap; a stopped process shows it on both. A time of day that was set forward looks the same as a suspension, and
 * listeners have to take that well: the event says that something may have been missed, not that it was.
 */
export class PauseWatch implements Disposable {
	readonly #pause = new Emitter<number>();
	readonly #timer: Disposable;

	constructor(clock: Clock) {
		let steady = clock.now();
		let wall = clock.wallTime();
		this.#timer = repeat(clock, checkMilliseconds, () => {
			const elapsed = Math.max(clock.now() - steady, clock.wallTime() - wall);
			steady = clock.now();
			wall = clock.wallTime();
			if (elapsed > pauseMilliseconds) {
				this.#pause.fire(elapsed);
			}
		});
	}

	/** Fires with the length in milliseconds, after the pause. */
	get onDidPause() {
		return this.#pause.event;
	}

	dispose(): void {
		this.#timer.dispose();
		this.#pause.dispose();
	}
}
