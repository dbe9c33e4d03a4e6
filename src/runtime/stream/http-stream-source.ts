/** Streams of the log service over HTTP. */
import {HttpLogStream} from './http-log-stream.js';
import type {LogStream} from './log-stream.js';
import {StreamSource} from './stream-source.js';

/** Opens streams at one log service. */
export class HttpStreamSource extends StreamSource {
	constructor(private readonly baseUrl: string) {
		super();
	}

	override open(name: string): LogStream {
		return new HttpLogStream(this.baseUrl, name);
	}
}
