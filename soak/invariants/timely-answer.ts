/** A caller of a sound entry has its answer, or a clear failure, within the time that it stated. */
import {isDisturbed} from '../is-disturbed.js';
import {Invariant} from '../invariant.js';
import type {SoakRecord} from '../soak-record.js';

/** Judged where nothing unplanned is near. */
export class TimelyAnswer extends Invariant {
	override readonly name = 'a sound entry answers every caller in time';
	override readonly isTimed = true;

	override violations(record: SoakRecord): readonly string[] {
		return record.jobs.flatMap(({id, attempts}) => attempts
			.filter(({outcome, sentAt, endedAt}) => outcome?.kind === 'expired' && !isDisturbed(record, sentAt, endedAt ?? sentAt, ({isPlanned}) => !isPlanned))
			.map(({entry, sentAt}) => `${id} on ${entry}, sent at ${sentAt}`));
	}
}
