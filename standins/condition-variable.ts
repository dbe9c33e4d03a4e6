/** Notification of pending calls. */

/** A wait ends with the next notification or after its timeout. */
export class ConditionVariable {
	readonly #waiting = new Set<() => void>();

	async wait(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, milliseconds);
			this.#waiting.add(wake);
		});
	}

	notifyAll(): void {
		for (const wake of this.#waiting) {
			wake();
		}
	}
}
