/** HTTP client of the log service. */
import {HttpLogStream} from './http-log-stream.js';
import {LogClient} from './log-client.js';
import type {LogStream} from './log-stream.js';

/** Opens streams of the log service at a base URL. */
export class HttpLogClient extends LogClient {
	constructor(private readonly baseUrl: string) {
		super();
	}

	override open(name: string): LogStream {
		return new HttpLogStream(this.baseUrl, name);
	}
}
