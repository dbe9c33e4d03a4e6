/** A record of the platform's log. */
import type {JsonValue} from '../../base/json-value.js';
import type {StreamOffset} from '../../base/stream-offset.js';

/** One appended record; offsets grow by one and are never given twice. */
export type StreamRecord = {
	readonly offset: StreamOffset;
	readonly body: JsonValue;
};
