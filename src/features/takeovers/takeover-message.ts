/** Messages about resubmitted jobs. */
import type {JobId} from '../../base/job-id.js';
import type {JobTakeover} from './job-takeover.js';

export type TakeoverMessage =
	/**
	 * There are later submissions of these jobs, and the sender waits for the runs of former ones to end. `isToRelay`: the receiver asks
	 * the other entries of its zone as well, which the sender may have no connections to.
	 */
	| {readonly kind: 'request'; readonly round: number; readonly isToRelay: boolean; readonly takeovers: readonly JobTakeover[]}
	/** The same from an owner to the requester of the runs that it stops. It isn't answered. */
	| {readonly kind: 'notice'; readonly takeovers: readonly JobTakeover[]}
	/**
	 * Answers a request: `busy` are those of its jobs that may still run for others, `relayed` those that other entries are asked for.
	 * `ended` follows for each of them.
	 */
	| {readonly kind: 'answer'; readonly round: number; readonly busy: readonly JobId[]; readonly relayed: readonly JobId[]}
	/** `mayHaveRun` are those of the relayed jobs that ran for others on the entries that were asked. */
	| {readonly kind: 'ended'; readonly jobs: readonly JobId[]; readonly mayHaveRun: readonly JobId[]};
