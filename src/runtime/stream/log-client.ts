/** Opens streams of the platform's log. */
import type {LogStream} from './log-stream.js';

/** One stream for each name. */
export abstract class LogClient {
	abstract open(name: string): LogStream;
}
