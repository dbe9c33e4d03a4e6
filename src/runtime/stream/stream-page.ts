/** A page of log records. */
import type {StreamOffset} from '../../base/stream-offset.js';
import type {StreamRecord} from './stream-record.js';

/** Records in ascending order of offset, and the range of offsets in the log. */
export type StreamPage = {
	readonly records: readonly StreamRecord[];
	/** Offset of the oldest retained record. */
	readonly firstOffset: StreamOffset;
	/** Offset of the next record to be appended. */
	readonly nextOffset: StreamOffset;
};
