/** The clock of one process among several, which can stand still. */
import {Clock} from '../../src/base/clock.js';
import type {Disposable} from '../../src/base/disposable.js';

/** What falls due while the process stands still happens when it goes on. */
export class StoppableClock extends Clock {
	#isStopped = false;
	#due: Array<() => void> = [];
	/** Time that this process hasn't counted. */
	#lost = 0;
	#stoppedAt = 0;

	constructor(private readonly world: Clock) {
		super();
	}

	get isStopped(): boolean {
		return this.#isStopped;
	}

	override now(): number {
		return (this.#isStopped ? this.#stoppedAt : this.world.now()) - this.#lost;
	}

	override wallTime(): number {
		return this.world.wallTime();
	}

	override schedule(delayMilliseconds: number, callback: () => void): Disposable {
		let isDisposed = false;
		const run = () => {
			if (!isDisposed) {
				callback();
			}
		};

		const timer = this.world.schedule(delayMilliseconds, () => {
			this.run(run);
		});
		return {
			dispose() {
				isDisposed = true;
				timer.dispose();
			},
		};
	}

	/** Runs something in this process, now or once it goes on. */
	run(work: () => void): void {
		if (this.#isStopped) {
			this.#due.push(work);
		} else {
			work();
		}
	}

	stop(): void {
		this.#isStopped = true;
		this.#stoppedAt = this.world.now();
	}

	/** Goes on; a process that was suspended hasn't counted the time. */
	go(isCounted: boolean): void {
		this.#isStopped = false;
		this.#lost += isCounted ? 0 : this.world.now() - this.#stoppedAt;
		const due = this.#due;
		this.#due = [];
		for (const work of due) {
			work();
		}
	}
}
