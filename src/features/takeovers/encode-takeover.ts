/** Encodes takeover messages. */
import type {JobTakeover} from './job-takeover.js';
import {takeoverCode} from './takeover-code.js';
import type {TakeoverMessage} from './takeover-message.js';

/** Encodes a message as a positional list. */
export function encodeTakeover(message: TakeoverMessage): readonly unknown[] {
	switch (message.kind) {
		case 'request': {
			return [takeoverCode.request, message.round, message.isToRelay, encodeJobs(message.takeovers)];
		}

		case 'notice': {
			return [takeoverCode.notice, encodeJobs(message.takeovers)];
		}

		case 'answer': {
			return [takeoverCode.answer, message.round, message.busy, message.relayed];
		}

		case 'ended': {
			return [takeoverCode.ended, message.jobs, message.mayHaveRun];
		}
	}
}

function encodeJobs(takeovers: readonly JobTakeover[]) {
	return takeovers.map(({job, timeoutMilliseconds, claimant}) => [job, timeoutMilliseconds, claimant]);
}
