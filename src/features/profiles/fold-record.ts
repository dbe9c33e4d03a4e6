/** The one rule by which records become configuration. */
import {match} from 'ts-pattern';
import type {ProfileName} from '../../base/profile-name.js';
import type {Revision} from '../../base/revision.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import type {StreamRecord} from '../../runtime/stream/stream-record.js';
import type {ChangeOutcome} from './change-outcome.js';
import type {Configuration} from './configuration.js';
import type {ConfigurationRecord} from './configuration-record.js';
import {configurationRecordSchema} from './configuration-record-schema.js';
import type {Folded} from './folded.js';
import {nextDigest} from './next-digest.js';
import type {ProfileRevision} from './profile-revision.js';
import type {SkippedRecord} from './skipped-record.js';

/** Outcomes that are remembered, so that a second append of the same change does nothing. */
const rememberedChanges = 1000;
const knownVersion = 1;

type Change = Exclude<ConfigurationRecord, {kind: 'snapshot'}>;
type Rejection = {readonly cause: 'exists' | 'absent' | 'superseded'; readonly winner?: Revision};

/**
 * Folds one record, which must be the one at `nextOffset`. A pure function of the records: operators who race each
 * other are decided by the order of the log and the revision that each change was based on.
 */
export function foldRecord(before: Configuration, record: StreamRecord): Folded {
	const passed: Configuration = {
		...before,
		nextOffset: (record.offset + 1) as StreamOffset,
		digest: nextDigest(before.digest, record),
	};
	const checked = configurationRecordSchema.safeParse(record.body);
	if (!checked.success) {
		return {configuration: passed, skipped: skippedRecord(record, checked.error.issues[0]?.message ?? 'unreadable')};
	}

	// A reader that folds record by record knows all that a snapshot could tell it.
	if (checked.data.kind === 'snapshot') {
		return {configuration: passed, isSnapshot: true};
	}

	return foldChange(passed, checked.data, record.offset);
}

function foldChange(passed: Configuration, change: Change, offset: StreamOffset): Folded {
	// The append of a change whose reply was lost may be made again: the first copy has decided.
	const earlier = passed.changes.get(change.changeId);
	if (earlier !== undefined) {
		return {configuration: passed, outcome: earlier};
	}

	const name = change.kind === 'retire' ? change.name : change.profile.name;
	const rejection = rejectionOf(passed.profiles.get(name), change);
	const outcome: ChangeOutcome = rejection === undefined
		? {
			kind: 'accepted', changeId: change.changeId, offset, name,
		}
		: {
			kind: 'rejected', changeId: change.changeId, offset, name, ...rejection,
		};
	const changes = remembered(passed.changes, outcome);
	if (rejection !== undefined) {
		return {configuration: {...passed, changes}, outcome};
	}

	const profiles = new Map(passed.profiles);
	profiles.set(name, revisionAfter(passed, change, name, offset));
	return {configuration: {...passed, profiles, changes}, outcome};
}

function rejectionOf(current: ProfileRevision | undefined, change: Change): Rejection | undefined {
	return match(change)
		.returnType<Rejection | undefined>()
		.with({kind: 'publish'}, () => current?.state === 'live' ? {cause: 'exists', winner: current.revision} : undefined)
		.otherwise(({base}) => {
			if (current === undefined) {
				return {cause: 'absent'};
			}

			if (current.state === 'retired') {
				return {cause: 'absent', winner: current.revision};
			}

			return current.revision === base ? undefined : {cause: 'superseded', winner: current.revision};
		});
}

function revisionAfter(configuration: Configuration, change: Change, name: ProfileName, offset: StreamOffset): ProfileRevision {
	const revision = offset as number as Revision;
	if (change.kind === 'retire') {
		return {profile: configuration.profiles.get(name)!.profile, revision, state: 'retired'};
	}

	return {profile: change.profile, revision, state: 'live'};
}

function remembered(changes: ReadonlyMap<string, ChangeOutcome>, outcome: ChangeOutcome): ReadonlyMap<string, ChangeOutcome> {
	const next = new Map(changes);
	next.set(outcome.changeId, outcome);
	for (const oldest of next.keys()) {
		if (next.size <= rememberedChanges) {
			break;
		}

		next.delete(oldest);
	}

	return next;
}

function skippedRecord(record: StreamRecord, detail: string): SkippedRecord {
	const {body} = record;
	const version = typeof body === 'object' && body !== null && 'version' in body ? body.version : undefined;
	const isNewer = typeof version === 'number' && version > knownVersion;
	return {kind: isNewer ? 'newer' : 'invalid', detail};
}
