/** One stream of the platform's append-only log. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {JsonValue} from '../../base/json-value.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import type {AppendResult} from './append-result.js';
import type {StreamReadResult} from './stream-read-result.js';

/** The adapter to the log service. Both operations end within their own time-out and never reject. */
export abstract class LogStream {
	abstract append(body: JsonValue, token: CancellationToken): Promise<AppendResult>;

	/** Reads from an offset; waits up to so many milliseconds for a record where there is none yet. */
	abstract read(from: StreamOffset, waitMilliseconds: number, token: CancellationToken): Promise<StreamReadResult>;
}
