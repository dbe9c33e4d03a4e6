/** Hash chain over configuration records. */
import {createHash} from 'node:crypto';
import type {StreamRecord} from '../../runtime/stream/stream-record.js';

const digestCharacters = 32;

/** Extends the digest of the preceding records by a record, whose body is hashed as JSON. */
export function nextDigest(digest: string, record: StreamRecord): string {
	const text = `${digest}|${record.offset}|${JSON.stringify(record.body)}`;
	return createHash('sha256').update(text).digest('hex').slice(0, digestCharacters);
}
