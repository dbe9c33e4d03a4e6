/** What features tell of their state. */

/** Sections of the status by the name of the feature; each makes its section anew when asked. */
export class StatusReport {
	readonly #sections = new Map<string, () => unknown>();

	add(name: string, section: () => unknown): void {
		this.#sections.set(name, section);
	}

	read(): Readonly<Record<string, unknown>> {
		return Object.fromEntries([...this.#sections].map(([name, section]) => [name, section()]));
	}
}
