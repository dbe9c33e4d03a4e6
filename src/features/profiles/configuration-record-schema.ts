/** Schema of the records in the configuration stream. */
import * as z from 'zod';
import type {ProfileName} from '../../base/profile-name.js';
import type {Revision} from '../../base/revision.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import {profileSchema} from './profile-schema.js';

const changeFields = {
	version: z.literal(1),
	changeId: z.string().min(8).max(64),
	/** Author and time (milliseconds since the epoch) of the change; informational, shown by the `history` command. */
	operator: z.string().max(128).default(''),
	at: z.number().default(0),
};
const name = z.string().max(64).transform(text => text as ProfileName);
const revision = z.int().min(0).transform(offset => offset as Revision);
const offset = z.int().min(0).transform(number => number as StreamOffset);

const profileRevisionSchema = z.strictObject({
	profile: profileSchema,
	revision,
	state: z.enum(['live', 'retired']),
});

const changeOutcomeSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('accepted'), changeId: z.string(), offset, name,
	}),
	z.strictObject({
		kind: z.literal('rejected'),
		changeId: z.string(),
		offset,
		name,
		cause: z.enum(['exists', 'absent', 'superseded']),
		/** The current revision when the change was applied. */
		winner: revision.optional(),
	}),
]);

/** A change by an operator, or a snapshot of the state that replaces all records before offset `upTo`. */
export const configurationRecordSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('publish'), ...changeFields, profile: profileSchema}),
	z.strictObject({
		kind: z.literal('revise'), ...changeFields, profile: profileSchema, base: revision,
	}),
	z.strictObject({
		kind: z.literal('retire'), ...changeFields, name, base: revision,
	}),
	z.strictObject({
		kind: z.literal('snapshot'),
		version: z.literal(1),
		upTo: offset,
		digest: z.string(),
		profiles: z.array(profileRevisionSchema),
		changes: z.array(changeOutcomeSchema),
	}),
]);
