/** Writes to a store's keyed topic as the platform's own programs do. */
import {Buffer} from 'node:buffer';
import {request} from 'undici';

const lengthBytes = 4;
/** An answer of the store may be lost. */
const callMilliseconds = 700;

type KeyedValue = {readonly topic: string; readonly key: string; readonly value: string};

/** An empty value drops the key. False where the store didn't accept, or its answer didn't come: it may be written then. */
export async function appendKeyedRecord(storeAddress: string, {topic, key, value}: KeyedValue): Promise<boolean> {
	const record = Buffer.concat([Buffer.alloc(lengthBytes), Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value)]);
	record.writeUInt32BE(record.length - lengthBytes, 0);
	try {
		const response = await request(`http://${storeAddress}/log-append?topic=${topic}&part=0`, {method: 'POST', body: record, headersTimeout: callMilliseconds});
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		// The store is away: whoever writes decides whether to write again.
		return false;
	}
}
