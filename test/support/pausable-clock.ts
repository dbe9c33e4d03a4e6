/** The clock of one process that can stand still while the others' time passes. */
import {Clock} from '../../src/base/clock.js';
import type {Disposable} from '../../src/base/disposable.js';
import type {FakeClock} from './fake-clock.js';

/** How a process stands still: a suspended machine's steady clock doesn't count the time, a frozen process's does. */
type Pause = 'suspended' | 'frozen';

/** Follows a world's clock but for the pauses; timers that fell due in one run with the world's next timers. */
export class PausableClock extends Clock {
	#pause: {readonly kind: Pause; readonly since: number} | undefined;
	#uncounted = 0;
	#held: Array<() => void> = [];

	constructor(private readonly world: FakeClock) {
		super();
	}

	get isPaused(): boolean {
		return this.#pause !== undefined;
	}

	override now(): number {
		return (this.#pause?.kind === 'suspended' ? this.#pause.since : this.world.now()) - this.#uncounted;
	}

	override wallTime(): number {
		return this.world.wallTime();
	}

	override schedule(delayMilliseconds: number, callback: () => void): Disposable {
		const due = this.now() + delayMilliseconds;
		let isDisposed = false;
		let timer = this.world.schedule(delayMilliseconds, () => {
			wake();
		});
		const wake = () => {
			if (isDisposed) {
				return;
			}

			if (this.isPaused) {
				this.#held.push(wake);
			} else if (due > this.now()) {
				timer = this.world.schedule(due - this.now(), wake);
			} else {
				callback();
			}
		};

		return {
			dispose() {
				isDisposed = true;
				timer.dispose();
			},
		};
	}

	pause(kind: Pause): void {
		this.#pause = {kind, since: this.world.now()};
	}

	resume(): void {
		this.#uncounted += this.#pause?.kind === 'suspended' ? this.world.now() - this.#pause.since : 0;
		this.#pause = undefined;
		const held = this.#held;
		this.#held = [];
		for (const wake of held) {
			this.world.schedule(0, wake);
		}
	}
}
