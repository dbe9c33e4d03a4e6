/** Whether the balancer should send callers here. */

/** Each named condition must hold. */
export class Readiness {
	readonly #conditions = new Map<string, () => boolean>();

	add(name: string, condition: () => boolean): void {
		this.#conditions.set(name, condition);
	}

	/** Names of the conditions that don't hold. */
	get missing(): readonly string[] {
		return [...this.#conditions].filter(([, condition]) => !condition()).map(([name]) => name);
	}
}
