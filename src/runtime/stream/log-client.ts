/** Access to the platform's log. */
import type {LogStream} from './log-stream.js';

/** A client of the log service. */
export abstract class LogClient {
	/** Opens the stream with the given name. */
	abstract open(name: string): LogStream;
}
