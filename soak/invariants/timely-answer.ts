/** Checks that callers do not time out. */
import {isDisturbed} from '../is-disturbed.js';
import {Invariant} from '../invariant.js';
import type {SoakRecord} from '../soak-record.js';

/** A healthy entry answers within the caller's deadline. Skips requests near unplanned disturbances. */
export class TimelyAnswer extends Invariant {
	override readonly name = 'a healthy entry answers every caller in time';
	override readonly isTimed = true;

	override violations(record: SoakRecord): readonly string[] {
		return record.jobs.flatMap(({id, attempts}) => attempts
			.filter(({outcome, sentAt, endedAt}) => outcome?.kind === 'expired' && !isDisturbed(record, sentAt, endedAt ?? sentAt, ({isPlanned}) => !isPlanned))
			.map(({entry, sentAt}) => `${id} on ${entry}, sent at ${sentAt}`));
	}
}
