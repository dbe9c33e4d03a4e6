/** Reducer that derives the configuration from the records of its stream. */
import {match} from 'ts-pattern';
import type {ProfileName} from '../../base/profile-name.js';
import type {Revision} from '../../base/revision.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import type {StreamRecord} from '../../runtime/stream/stream-record.js';
import type {ChangeOutcome} from './change-outcome.js';
import type {Configuration} from './configuration.js';
import type {ConfigurationRecord} from './configuration-record.js';
import {configurationRecordSchema} from './configuration-record-schema.js';
import type {FoldResult} from './fold-result.js';
import {nextDigest} from './next-digest.js';
import type {ProfileRevision} from './profile-revision.js';
import type {SkippedRecord} from './skipped-record.js';

/** Number of recent outcomes kept to ignore a change that is appended again. */
const maxRetainedOutcomes = 1000;
const knownVersion = 1;

type Change = Exclude<ConfigurationRecord, {kind: 'snapshot'}>;
type Rejection = {readonly cause: 'exists' | 'absent' | 'superseded'; readonly winner?: Revision};

/**
 * Folds one record, which must be the one at `nextOffset`. Pure function: concurrent changes are resolved by their order
 * in the log and by the revision that each is based on.
 */
export function foldRecord(previous: Configuration, record: StreamRecord): FoldResult {
	const advanced: Configuration = {
		...previous,
		nextOffset: (record.offset + 1) as StreamOffset,
		digest: nextDigest(previous.digest, record),
	};
	const checked = configurationRecordSchema.safeParse(record.body);
	if (!checked.success) {
		return {configuration: advanced, skipped: skippedRecordOf(record, checked.error.issues[0]?.message ?? 'unreadable')};
	}

	// The state in a snapshot is already known to a reader that folded all records before it.
	if (checked.data.kind === 'snapshot') {
		return {configuration: advanced, isSnapshot: true};
	}

	return foldChange(advanced, checked.data, record.offset);
}

function foldChange(advanced: Configuration, change: Change, offset: StreamOffset): FoldResult {
	// A change whose reply was lost may be appended again; the first occurrence determines the outcome.
	const earlier = advanced.changes.get(change.changeId);
	if (earlier !== undefined) {
		return {configuration: advanced, outcome: earlier};
	}

	const name = change.kind === 'retire' ? change.name : change.profile.name;
	const rejection = rejectionOf(advanced.profiles.get(name), change);
	const outcome: ChangeOutcome = rejection === undefined
		? {
			kind: 'accepted', changeId: change.changeId, offset, name,
		}
		: {
			kind: 'rejected', changeId: change.changeId, offset, name, ...rejection,
		};
	const changes = withOutcome(advanced.changes, outcome);
	if (rejection !== undefined) {
		return {configuration: {...advanced, changes}, outcome};
	}

	const profiles = new Map(advanced.profiles);
	profiles.set(name, revisionAfter(advanced, change, name, offset));
	return {configuration: {...advanced, profiles, changes}, outcome};
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

function withOutcome(changes: ReadonlyMap<string, ChangeOutcome>, outcome: ChangeOutcome): ReadonlyMap<string, ChangeOutcome> {
	const next = new Map(changes);
	next.set(outcome.changeId, outcome);
	for (const oldest of next.keys()) {
		if (next.size <= maxRetainedOutcomes) {
			break;
		}

		next.delete(oldest);
	}

	return next;
}

function skippedRecordOf(record: StreamRecord, detail: string): SkippedRecord {
	const {body} = record;
	const version = typeof body === 'object' && body !== null && 'version' in body ? body.version : undefined;
	const isNewer = typeof version === 'number' && version > knownVersion;
	return {kind: isNewer ? 'newer' : 'invalid', detail};
}
