/** Where the list of targets is read from. */
import type {ListRecord} from './list-record.js';

type LatestValues = {
	readonly values: ReadonlyMap<string, Uint8Array>;
	/** From where on to read; values may be newer than that. */
	readonly end: number;
};
type LogRead =
	/** `isBehind`: there were more records than one answer holds. */
	| {readonly kind: 'records'; readonly records: readonly ListRecord[]; readonly next: number; readonly hasMore: boolean}
	/** `trimmed`: the store doesn't have the records from there on any more. */
	| {readonly kind: 'trimmed' | 'failed'};

/** The platform's log of what targets write. */
export abstract class ListSource {
	/** The newest value of each key. */
	abstract readLatest(): Promise<LatestValues | undefined>;

	/** The records from an offset on; answers at once. */
	abstract readFrom(from: number): Promise<LogRead>;
}
