/** HTTP client of the log service; docs/INTERFACES.md describes the protocol. */
import {request} from 'undici';
import * as z from 'zod';
import {abortSignalOf} from '../../base/abort-signal-of.js';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {JsonValue} from '../../base/json-value.js';
import {jsonValueSchema} from '../../base/json-value-schema.js';
import {parseJson} from '../../base/parse-json.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import type {AppendResult} from './append-result.js';
import {LogStream} from './log-stream.js';
import type {StreamReadResult} from './stream-read-result.js';

const appendTimeoutMilliseconds = 3000;
const readTimeoutMarginMilliseconds = 3000;

const offsetSchema = z.int().min(0).transform(offset => offset as StreamOffset);
const appendResponseSchema = z.object({offset: offsetSchema});
const pageSchema = z.object({
	records: z.array(z.object({offset: offsetSchema, body: jsonValueSchema})),
	firstOffset: offsetSchema,
	nextOffset: offsetSchema,
});

/** Appends to and reads from `URL/streams/NAME/records`. */
export class HttpLogStream extends LogStream {
	readonly #recordsUrl: string;

	constructor(baseUrl: string, streamName: string) {
		super();
		this.#recordsUrl = `${baseUrl}/streams/${streamName}/records`;
	}

	override async append(body: JsonValue, token: CancellationToken): Promise<AppendResult> {
		try {
			const response = await request(this.#recordsUrl, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
				signal: abortSignalOf(appendTimeoutMilliseconds, token),
			});
			const reply = parseJson(await response.body.bytes());
			if (response.statusCode === 201) {
				return {kind: 'appended', offset: appendResponseSchema.parse(reply).offset};
			}

			return {kind: 'notAppended', detail: `the log answered ${response.statusCode}`};
		} catch (error) {
			// Only a refused connection proves that the record was not appended.
			const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
			return {kind: isRefused ? 'notAppended' : 'unknown', detail: String(error)};
		}
	}

	override async read(from: StreamOffset, waitMilliseconds: number, token: CancellationToken): Promise<StreamReadResult> {
		try {
			const response = await request(`${this.#recordsUrl}?from=${from}&wait=${waitMilliseconds}`, {
				signal: abortSignalOf(waitMilliseconds + readTimeoutMarginMilliseconds, token),
			});
			const reply = parseJson(await response.body.bytes());
			if (response.statusCode !== 200) {
				return {kind: 'unavailable', detail: `the log answered ${response.statusCode}`};
			}

			return {kind: 'page', page: pageSchema.parse(reply)};
		} catch (error) {
			return {kind: 'unavailable', detail: String(error)};
		}
	}
}
