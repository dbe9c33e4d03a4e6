/** The replicated target list. */
import {ChangeLog} from './change-log.js';
import type {TargetTable} from './target-table.js';
import type {ListUpdate} from './list-update.js';
import type {ListRequest} from './list-request.js';
import type {ListRecord} from './list-record.js';
import {packRecords} from './pack-records.js';
import {unpackRecords} from './unpack-records.js';

/**
 * Tracks the store offset up to which the list is known, and applies each later record once and in order, regardless of which entry
 * has read it. Late data, from a stalled entry or a slow read, is before that offset and has no effect.
 */
export class ReplicatedList {
	#next: number | undefined;
	readonly #changes = new ChangeLog();
	/** The encoded list, cached because entries that start together request the same one. */
	#packedList: {readonly next: number; readonly records: Uint8Array} | undefined;

	constructor(private readonly table: TargetTable) {}

	/** The first unknown offset; undefined if no list is known. */
	get next(): number | undefined {
		return this.#next;
	}

	/** Whether the list is consistent as of one offset, so that it may be sent to other entries. */
	get isComplete(): boolean {
		return this.#changes.isComplete;
	}

	/** Applies the latest values. Some of them may be newer than `end`, so the list is consistent only after the next read. */
	applySnapshot(values: ReadonlyMap<string, Uint8Array>, end: number): void {
		this.#changes.clear();
		this.table.replaceAll([...values].map(([key, value]) => ({key, value})));
		this.#next = end;
		this.table.commit();
	}

	/** Applies records of a read that began after everything known here had been read; `isAll`: the store has no further ones. */
	applyRecords(records: readonly ListRecord[], next: number, isAll: boolean): void {
		this.#applySince(records, next);
		if (isAll && !this.#changes.isComplete) {
			this.#changes.restart(this.#next!);
		}

		this.table.commit();
	}

	/**
	 * Applies an update; returns false if it leaves a gap or is outdated. `isLate`: it may be older than the known list. Throws if it
	 * is malformed.
	 */
	applyUpdate({from, next, records: packed}: ListUpdate, isLate: boolean): boolean {
		if (from === undefined) {
			return (!isLate || this.#changes.isComplete) && this.#replaceAll(packed, next);
		}

		if (this.#next === undefined || from > this.#next) {
			return false;
		}

		this.applyRecords(unpackRecords(packed), next, !isLate);
		return true;
	}

	/** Discards the list if its end is an offset that the store can no longer read from. */
	invalidate(offset: number): void {
		if (this.#next === offset) {
			this.#next = undefined;
			this.#changes.clear();
		}
	}

	/** Returns what the requester lacks. */
	updateFor({requestId, from}: ListRequest): ListUpdate {
		const next = this.#next!;
		const changes = from === undefined ? undefined : this.#changes.since(from);
		const records = changes === undefined ? this.#packList(next) : packRecords(changes);
		return {
			requestId, from: changes === undefined ? undefined : from, next, records,
		};
	}

	#applySince(records: readonly ListRecord[], next: number): void {
		const known = this.#next ?? 0;
		for (const record of records) {
			if (record.offset >= known && this.table.apply(record)) {
				this.#changes.add(record);
			}
		}

		this.#next = Math.max(known, next);
	}

	#replaceAll(packed: Uint8Array, next: number): boolean {
		if (this.#next !== undefined && next < this.#next) {
			return false;
		}

		this.table.replaceAll(unpackRecords(packed));
		this.#next = next;
		this.#changes.restart(next);
		this.table.commit();
		return true;
	}

	#packList(next: number): Uint8Array {
		if (this.#packedList?.next !== next) {
			this.#packedList = {next, records: packRecords(this.table.snapshot.map(value => ({...value, offset: next})))};
		}

		return this.#packedList.records;
	}
}
