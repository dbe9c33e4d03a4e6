/** Checks that a draining worker gets no new tasks. */
import {isDisturbed} from '../is-disturbed.js';
import {Invariant} from '../invariant.js';
import {soakBounds} from '../soak-bounds.js';
import type {SoakRecord} from '../soak-record.js';

/** Skips starts near unplanned disturbances, since an entry without connections can't learn of the drain. */
export class TimelyDrain extends Invariant {
	override readonly name = 'a draining worker gets no new tasks after the drain time';
	override readonly isTimed = true;

	override violations(record: SoakRecord): readonly string[] {
		return record.drains.flatMap(({worker, ackedAt}) => record.runs
			.filter(run => run.worker === worker && run.kind === 'start' && run.at > ackedAt + soakBounds.drainTime)
			.filter(run => !isDisturbed(record, ackedAt, run.at, ({isPlanned}) => !isPlanned))
			.map(run => `${run.task} on ${worker}, ${run.at - ackedAt} ms after its drain was accepted`));
	}
}
