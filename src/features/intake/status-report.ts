/** Status report of an entry. */

/** Holds one section per feature; sections are evaluated on each read. */
export class StatusReport {
	readonly #sections = new Map<string, () => unknown>();

	add(name: string, section: () => unknown): void {
		this.#sections.set(name, section);
	}

	read(): Readonly<Record<string, unknown>> {
		return Object.fromEntries([...this.#sections].map(([name, section]) => [name, section()]));
	}
}
