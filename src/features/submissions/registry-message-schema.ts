/** Schema of the messages between clients and registrars. */
import * as z from 'zod';
import type {MemberId} from '../../base/member-id.js';
import type {SubmissionId} from '../../base/submission-id.js';
import {verdictSchema} from './verdict-schema.js';

const id = z.string().max(256).transform(text => text as SubmissionId);
const nonce = z.string().max(128);
const memberId = z.string().max(256).transform(text => text as MemberId);
/** `version` 0: granted and running; 1: settled; 2: released, which forgets the submission. */
const record = z.object({
	id,
	fingerprint: z.string().max(64),
	executor: memberId,
	nonce,
	version: z.int().min(0).max(2),
	/** Time until a running record is considered lost, or a settled one is deleted. */
	remainingMilliseconds: z.number(),
	verdict: verdictSchema.optional(),
});

/** From a client to a registrar of the submission's home zone. */
const requests = [
	z.object({
		kind: z.literal('claim'), id, fingerprint: z.string().max(64), nonce, remainingMilliseconds: z.number(),
	}),
	z.object({
		kind: z.literal('settle'), id, fingerprint: z.string().max(64), nonce, verdict: verdictSchema,
	}),
	z.object({kind: z.literal('cancel'), id}),
] as const;

/** From a registrar to a client; `waiting` means that another claim is running and its verdict will follow. */
const replies = [
	z.object({kind: z.literal('granted'), id, nonce}),
	z.object({kind: z.literal('waiting'), id, nonce}),
	z.object({
		kind: z.literal('concluded'), id, nonce, verdict: verdictSchema,
	}),
	/** The sender isn't the primary of the id; `to` may be. */
	z.object({
		kind: z.literal('redirect'), id, nonce, to: memberId.optional(),
	}),
	z.object({kind: z.literal('settled'), id, nonce}),
	z.object({kind: z.literal('cancelRequested'), id}),
] as const;

/** Between the registrars of a zone; `era` counts how often a registrar has joined the group. */
const groupMessages = [
	z.object({
		kind: z.literal('copy'), era: z.int(), record, fenced: z.array(memberId),
	}),
	z.object({
		kind: z.literal('copied'), id, nonce, version: z.int(),
	}),
	/** The copy was rejected: the receiver was fenced or removed, the views differ, or `existing` takes precedence. */
	z.object({
		kind: z.literal('notCopied'), id, nonce, era: z.int(), isFenced: z.boolean(), existing: record.optional(),
	}),
	z.object({kind: z.literal('join'), era: z.int()}),
	z.object({kind: z.literal('welcome'), era: z.int(), isActive: z.boolean()}),
	z.object({kind: z.literal('enter'), era: z.int()}),
	z.object({
		kind: z.literal('state'),
		era: z.int(),
		records: z.array(record),
		isLast: z.boolean(),
		isActive: z.boolean(),
		/** For ids created before this time (milliseconds since the epoch), records may be missing. */
		vouchFrom: z.number(),
		ownEra: z.int(),
	}),
	z.object({kind: z.literal('handover'), sequence: z.int(), records: z.array(record)}),
	z.object({kind: z.literal('handoverTaken'), sequence: z.int()}),
	z.object({kind: z.literal('leftCircle')}),
	/** The sender has replicated all its records again after the loss of the member. */
	z.object({kind: z.literal('restored'), lost: memberId}),
] as const;

/** All messages of the registry. */
export const registryMessageSchema = z.discriminatedUnion('kind', [...requests, ...replies, ...groupMessages]);
