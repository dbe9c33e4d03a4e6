/** The latest changes of the list of targets. */
import type {ListRecord} from './list-record.js';

/** Whoever is further behind is told the whole list. */
const mostChanges = 4096;

/** What changed from an offset on, without the records that only confirm. */
export class ChangeLog {
	#start: number | undefined;
	#changes: ListRecord[] = [];

	/** The list is known as a whole up to an offset; what was before isn't told any more. */
	restart(start: number): void {
		this.#start = start;
		this.#changes = [];
	}

	/** The list isn't known any more. */
	clear(): void {
		this.#start = undefined;
		this.#changes = [];
	}

	add(change: ListRecord): void {
		if (this.#start === undefined) {
			return;
		}

		this.#changes.push(change);
		if (this.#changes.length > mostChanges) {
			this.#changes = this.#changes.slice(-mostChanges / 2);
			this.#start = this.#changes[0]!.offset;
		}
	}

	/** Whether the list is known as of one offset. */
	get isComplete(): boolean {
		return this.#start !== undefined;
	}

	/** The changes from an offset on; nothing where not all of them are known. */
	since(offset: number): readonly ListRecord[] | undefined {
		return this.#start === undefined || offset < this.#start ? undefined : this.#changes.filter(change => change.offset >= offset);
	}
}
