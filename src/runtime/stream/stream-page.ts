/** A run of records as one read returns them. */
import type {StreamOffset} from '../../base/stream-offset.js';
import type {StreamRecord} from './stream-record.js';

/** Records in the order of their offsets, with the bounds of what the log holds. */
export type StreamPage = {
	readonly records: readonly StreamRecord[];
	/** Offset of the oldest record that is still kept. */
	readonly firstOffset: StreamOffset;
	/** Offset that the next append will get. */
	readonly nextOffset: StreamOffset;
};
