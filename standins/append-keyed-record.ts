/** Writes records to a keyed topic of a store. */
import {Buffer} from 'node:buffer';
import {request} from 'undici';

const lengthBytes = 4;
/** Timeout for the response. */
const callMilliseconds = 700;

type KeyedValue = {readonly topic: string; readonly key: string; readonly value: string};

/** An empty value deletes the key. Returns false if the write is not confirmed; it may still have taken effect. */
export async function appendKeyedRecord(storeAddress: string, {topic, key, value}: KeyedValue): Promise<boolean> {
	const record = Buffer.concat([Buffer.alloc(lengthBytes), Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value)]);
	record.writeUInt32BE(record.length - lengthBytes, 0);
	try {
		const response = await request(`http://${storeAddress}/log-append?topic=${topic}&part=0`, {method: 'POST', body: record, headersTimeout: callMilliseconds});
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		// The store is unavailable; the caller decides whether to retry.
		return false;
	}
}
