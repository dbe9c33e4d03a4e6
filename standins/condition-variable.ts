/** Notification of pending calls. */

/** A wait ends with the next notification or after its timeout. */
export class ConditionVariable {
	readonly #waiting = new Set<() => void>();

	/** Tests can replace the timers. */
	constructor(private readonly startTimer: (callback: () => void, milliseconds: number) => NodeJS.Timeout | undefined = setTimeout) {}

	async wait(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = this.startTimer(wake, milliseconds);
			this.#waiting.add(wake);
		});
	}

	notifyAll(): void {
		for (const wake of this.#waiting) {
			wake();
		}
	}
}
