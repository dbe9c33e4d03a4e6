/** The source of the target list. */
import type {ListRecord} from './list-record.js';

/** The latest value of each key. */
type LatestValues = {
	readonly values: ReadonlyMap<string, Uint8Array>;
	/** The offset to continue reading from; some values may be newer. */
	readonly end: number;
};
/** The result of reading from an offset. */
type LogRead =
	/** `hasMore`: there are more records than fit into one response. */
	| {readonly kind: 'records'; readonly records: readonly ListRecord[]; readonly next: number; readonly hasMore: boolean}
	/** `trimmed`: the store no longer has the records from that offset on. */
	| {readonly kind: 'trimmed' | 'failed'};

/** The log that targets write to. */
export abstract class ListSource {
	/** Returns the latest value of each key; undefined if the store fails to answer. */
	abstract readLatest(): Promise<LatestValues | undefined>;

	/** Returns the records from an offset on, without waiting for new ones. */
	abstract readFrom(from: number): Promise<LogRead>;
}
