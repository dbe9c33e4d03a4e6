/** The list of targets as it's known here, in the store's order. */
import {ChangeLog} from './change-log.js';
import type {TargetTable} from './target-table.js';
import type {ListUpdate} from './list-update.js';
import type {ListRequest} from './list-request.js';
import type {ListRecord} from './list-record.js';
import {packRecords} from './pack-records.js';
import {unpackRecords} from './unpack-records.js';

/**
 * Knows up to which of the store's offsets the list is known, and takes each record after that once, in order, whichever entry
 * has read it. What comes late, from an entry that stood still or from a slow read, is before that offset and has no effect.
 */
export class ReplicatedList {
	#next: number | undefined;
	readonly #changes = new ChangeLog();
	/** The whole list as it was packed last: entries that start together ask for the same one. */
	#whole: {readonly next: number; readonly records: Uint8Array} | undefined;

	constructor(private readonly table: TargetTable) {}

	/** The first offset that isn't known; nothing where no list is. */
	get next(): number | undefined {
		return this.#next;
	}

	/** Whether others can be told of it. */
	get isComplete(): boolean {
		return this.#changes.isComplete;
	}

	/** The newest values, some of which may be newer than `end`: the list is one moment's only after the next read. */
	applySnapshot(values: ReadonlyMap<string, Uint8Array>, end: number): void {
		this.#changes.clear();
		this.table.replaceAll([...values].map(([key, value]) => ({key, value})));
		this.#next = end;
		this.table.commit();
	}

	/** Records that were asked for after everything that is known here had been read; `isAll`: the store had no others. */
	applyRecords(records: readonly ListRecord[], next: number, isAll: boolean): void {
		this.#takeSince(records, next);
		if (isAll && !this.#changes.isComplete) {
			this.#changes.restart(this.#next!);
		}

		this.table.commit();
	}

	/**
	 * False where it doesn't join on to what is known here; `isLate`: it may be older than that. Throws where it can't be read.
	 */
	applyUpdate({from, next, records: packed}: ListUpdate, isLate: boolean): boolean {
		if (from === undefined) {
			return (!isLate || this.#changes.isComplete) && this.#takeWhole(packed, next);
		}

		if (this.#next === undefined || from > this.#next) {
			return false;
		}

		this.applyRecords(unpackRecords(packed), next, !isLate);
		return true;
	}

	/** The store can't tell what came since an offset. */
	invalidate(offset: number): void {
		if (this.#next === offset) {
			this.#next = undefined;
			this.#changes.clear();
		}
	}

	/** Tells another entry what it doesn't know. */
	updateFor({requestId, from}: ListRequest): ListUpdate {
		const next = this.#next!;
		const changes = from === undefined ? undefined : this.#changes.since(from);
		const records = changes === undefined ? this.#packWhole(next) : packRecords(changes);
		return {
			requestId, from: changes === undefined ? undefined : from, next, records,
		};
	}

	#takeSince(records: readonly ListRecord[], next: number): void {
		const known = this.#next ?? 0;
		for (const record of records) {
			if (record.offset >= known && this.table.apply(record)) {
				this.#changes.add(record);
			}
		}

		this.#next = Math.max(known, next);
	}

	#takeWhole(packed: Uint8Array, next: number): boolean {
		if (this.#next !== undefined && next < this.#next) {
			return false;
		}

		this.table.replaceAll(unpackRecords(packed));
		this.#next = next;
		this.#changes.restart(next);
		this.table.commit();
		return true;
	}

	#packWhole(next: number): Uint8Array {
		if (this.#whole?.next !== next) {
			this.#whole = {next, records: packRecords(this.table.snapshot.map(value => ({...value, offset: next})))};
		}

		return this.#whole.records;
	}
}
