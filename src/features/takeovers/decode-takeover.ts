/** Decodes takeover messages. */
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';
import {EncodedValues} from '../pool/encoded-values.js';
import type {JobTakeover} from './job-takeover.js';
import {takeoverCode} from './takeover-code.js';
import type {TakeoverMessage} from './takeover-message.js';

/** Throws a `TypeError` that names the malformed value. */
export function decodeTakeover(body: unknown): TakeoverMessage {
	const values = new EncodedValues(Array.isArray(body) ? body : []);
	const code = values.number();
	switch (code) {
		case takeoverCode.request: {
			return {
				kind: 'request', round: values.number(), isToRelay: values.flag(), takeovers: decodeJobs(values),
			};
		}

		case takeoverCode.notice: {
			return {kind: 'notice', takeovers: decodeJobs(values)};
		}

		case takeoverCode.answer: {
			return {
				kind: 'answer', round: values.number(), busy: decodeIds(values), relayed: decodeIds(values),
			};
		}

		case takeoverCode.ended: {
			return {kind: 'ended', jobs: decodeIds(values), mayHaveRun: decodeIds(values)};
		}

		default: {
			throw new TypeError(`unknown takeover code ${code}`);
		}
	}
}

function decodeIds(values: EncodedValues): readonly JobId[] {
	return values.texts().map(job => job as JobId);
}

function decodeJobs(values: EncodedValues): readonly JobTakeover[] {
	return values.lists(item => ({job: item.text<JobId>(), timeoutMilliseconds: item.finiteNumber(), claimant: item.text<MemberId>()}));
}
