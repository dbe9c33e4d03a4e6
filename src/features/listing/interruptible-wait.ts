/** A delay that can be ended early. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';

/** Supports one wait at a time. */
export class InterruptibleWait implements Disposable {
	#interrupt: (() => void) | undefined;

	constructor(private readonly clock: Clock) {}

	/** Resolves after the given time, or when interrupted. */
	async wait(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = this.clock.schedule(milliseconds, resolve);
			this.#interrupt = () => {
				timer.dispose();
				resolve();
			};
		});
		this.#interrupt = undefined;
	}

	/** Ends the current wait, if any. */
	interrupt(): void {
		this.#interrupt?.();
	}

	dispose(): void {
		this.interrupt();
	}
}
