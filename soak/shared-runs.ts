/** Counts the runs between entries of two bundles. */

const startEvent = '"event":"runStarted"';

/** Follows the `runStarted` lines of all entries. */
export class SharedRuns {
	/** By member, known from the runs that an entry starts for itself: whether the member runs the former bundle. */
	readonly #isFormer = new Map<string, boolean>();
	readonly #remoteRuns: Array<{readonly requester: string; readonly isOwnerFormer: boolean}> = [];

	observe(instance: string, isFormer: boolean, line: string): void {
		if (!line.includes(startEvent)) {
			return;
		}

		const {requester} = JSON.parse(line) as {readonly requester: string};
		if (requester.startsWith(`${instance}#`)) {
			this.#isFormer.set(requester, isFormer);
		} else {
			this.#remoteRuns.push({requester, isOwnerFormer: isFormer});
		}
	}

	/** Runs that an entry started for an entry of the other bundle; without those of entries that started none for themselves. */
	get acrossBundles(): number {
		return this.#remoteRuns.filter(({requester, isOwnerFormer}) => this.#isFormer.get(requester) === !isOwnerFormer).length;
	}
}
