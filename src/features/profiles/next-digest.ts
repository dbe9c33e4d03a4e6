/** The hash chain over configuration records. */
import {createHash} from 'node:crypto';
import type {StreamRecord} from '../../runtime/stream/stream-record.js';

const digestCharacters = 32;

/** Chains a record to the digest of all before it; the body counts as the log's JSON gives it. */
export function nextDigest(digest: string, record: StreamRecord): string {
	const text = `${digest}|${record.offset}|${JSON.stringify(record.body)}`;
	return createHash('sha256').update(text).digest('hex').slice(0, digestCharacters);
}
