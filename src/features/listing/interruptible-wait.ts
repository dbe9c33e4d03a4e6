/** A wait that can be cut short. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';

/** One wait at a time. */
export class InterruptibleWait implements Disposable {
	#interrupt: (() => void) | undefined;

	constructor(private readonly clock: Clock) {}

	/** Resolves after so many milliseconds, or once it's cut short. */
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

	interrupt(): void {
		this.#interrupt?.();
	}

	dispose(): void {
		this.interrupt();
	}
}
