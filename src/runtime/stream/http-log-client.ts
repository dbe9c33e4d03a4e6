/** Streams of the log service over HTTP. */
import {HttpLogStream} from './http-log-stream.js';
import type {LogStream} from './log-stream.js';
import {LogClient} from './log-client.js';

/** Opens streams at one log service. */
export class HttpLogClient extends LogClient {
	constructor(private readonly baseUrl: string) {
		super();
	}

	override open(name: string): LogStream {
		return new HttpLogStream(this.baseUrl, name);
	}
}
