/** Readiness check for load balancers. */

/** An entry is ready when all registered conditions hold. */
export class Readiness {
	readonly #conditions = new Map<string, () => boolean>();

	add(name: string, condition: () => boolean): void {
		this.#conditions.set(name, condition);
	}

	/** Names of the conditions that do not hold. */
	get missing(): readonly string[] {
		return [...this.#conditions].filter(([, condition]) => !condition()).map(([name]) => name);
	}
}
