/** Transfer of values between two entries. */
import type {RunRequest} from '../../src/features/execution/run-request.js';
import {decodeMessages} from '../../src/features/pool/decode-messages.js';
import {encodeMessages} from '../../src/features/pool/encode-messages.js';
import type {PoolMessage} from '../../src/features/pool/pool-message.js';
import {throughFrame} from './through-frame.js';

/** Encodes values as one entry, and decodes them as another; bundled by a test, so that both builds can be compared. */
export const throughPeers = {
	/** Passes on the body of a message. */
	body(body: unknown): unknown {
		return throughFrame({channel: 'test', body}).body;
	},

	/** Passes on requests to run tasks. */
	requests(requests: readonly RunRequest[]): readonly PoolMessage[] {
		return decodeMessages(throughPeers.body(encodeMessages(requests.map(request => ({kind: 'run', request})))));
	},
};
