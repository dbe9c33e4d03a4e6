/** A stream of the platform's append-only log. */
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {JsonValue} from '../../base/json-value.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import type {AppendResult} from './append-result.js';
import type {StreamReadResult} from './stream-read-result.js';

/** Reads and appends records. Both operations have a timeout, and their promises never reject. */
export abstract class LogStream {
	/** Appends a record to the end of the stream. */
	abstract append(body: JsonValue, token: CancellationToken): Promise<AppendResult>;

	/** Reads records from an offset on; waits up to `waitMilliseconds` if there are none yet. */
	abstract read(from: StreamOffset, waitMilliseconds: number, token: CancellationToken): Promise<StreamReadResult>;
}
