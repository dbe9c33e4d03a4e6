/** A worker that announced its leaving gets no new tasks after a while. */
import {isDisturbed} from '../is-disturbed.js';
import {Invariant} from '../invariant.js';
import {soakBounds} from '../soak-bounds.js';
import type {SoakRecord} from '../soak-record.js';

/** Judged only where nothing unplanned was near, since an entry that is cut off can't know. */
export class TimelyDrain extends Invariant {
	override readonly name = 'a leaving worker gets no new tasks after the drain time';
	override readonly isTimed = true;

	override violations(record: SoakRecord): readonly string[] {
		return record.drains.flatMap(({worker, ackedAt}) => record.runs
			.filter(run => run.worker === worker && run.kind === 'start' && run.at > ackedAt + soakBounds.drain)
			.filter(run => !isDisturbed(record, ackedAt, run.at, ({isPlanned}) => !isPlanned))
			.map(run => `${run.task} on ${worker}, ${run.at - ackedAt} ms after its leaving was accepted`));
	}
}
