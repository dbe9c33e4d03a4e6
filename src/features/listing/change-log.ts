/** The recent changes of the target list. */
import type {ListRecord} from './list-record.js';

/** An entry that is further behind gets the whole list. */
const maximumChanges = 4096;

/** Stores the changes from an offset on, without records that repeat a known value. */
export class ChangeLog {
	#start: number | undefined;
	#changes: ListRecord[] = [];

	/** Starts again at an offset up to which the whole list is known. */
	restart(start: number): void {
		this.#start = start;
		this.#changes = [];
	}

	/** Discards the changes, since the list is no longer known. */
	clear(): void {
		this.#start = undefined;
		this.#changes = [];
	}

	/** Appends a change; ignored while the list is unknown. */
	add(change: ListRecord): void {
		if (this.#start === undefined) {
			return;
		}

		this.#changes.push(change);
		if (this.#changes.length > maximumChanges) {
			this.#changes = this.#changes.slice(-maximumChanges / 2);
			this.#start = this.#changes[0]!.offset;
		}
	}

	/** Whether the list is known as of a single offset. */
	get isComplete(): boolean {
		return this.#start !== undefined;
	}

	/** Returns the changes from an offset on; undefined if some of them are unknown. */
	since(offset: number): readonly ListRecord[] | undefined {
		return this.#start === undefined || offset < this.#start ? undefined : this.#changes.filter(change => change.offset >= offset);
	}
}
