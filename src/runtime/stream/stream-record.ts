/** A record in the platform's log. */
import type {JsonValue} from '../../base/json-value.js';
import type {StreamOffset} from '../../base/stream-offset.js';

/** An appended record; offsets are consecutive and never reused. */
export type StreamRecord = {
	readonly offset: StreamOffset;
	readonly body: JsonValue;
};
