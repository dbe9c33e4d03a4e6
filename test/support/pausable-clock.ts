/** The clock of a process that can be paused. */
import {Clock} from '../../src/base/clock.js';
import type {Disposable} from '../../src/base/disposable.js';
import type {FakeClock} from './fake-clock.js';

/** The monotonic clock stops while a machine is suspended, and runs on while a process is frozen. */
type PauseKind = 'suspended' | 'frozen';

/** Follows the cluster's clock except for pauses; timers that became due during a pause run after it. */
export class PausableClock extends Clock {
	#pause: {readonly kind: PauseKind; readonly since: number} | undefined;
	#suspendedMilliseconds = 0;
	#heldTimers: Array<() => void> = [];

	constructor(private readonly clusterClock: FakeClock) {
		super();
	}

	get isPaused(): boolean {
		return this.#pause !== undefined;
	}

	override now(): number {
		return (this.#pause?.kind === 'suspended' ? this.#pause.since : this.clusterClock.now()) - this.#suspendedMilliseconds;
	}

	override wallTime(): number {
		return this.clusterClock.wallTime();
	}

	override schedule(delayMilliseconds: number, callback: () => void): Disposable {
		const due = this.now() + delayMilliseconds;
		let isDisposed = false;
		let timer = this.clusterClock.schedule(delayMilliseconds, () => {
			wake();
		});
		const wake = () => {
			if (isDisposed) {
				return;
			}

			if (this.isPaused) {
				this.#heldTimers.push(wake);
			} else if (due > this.now()) {
				timer = this.clusterClock.schedule(due - this.now(), wake);
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

	pause(kind: PauseKind): void {
		this.#pause = {kind, since: this.clusterClock.now()};
	}

	resume(): void {
		this.#suspendedMilliseconds += this.#pause?.kind === 'suspended' ? this.clusterClock.now() - this.#pause.since : 0;
		this.#pause = undefined;
		const held = this.#heldTimers;
		this.#heldTimers = [];
		for (const wake of held) {
			this.clusterClock.schedule(0, wake);
		}
	}
}
