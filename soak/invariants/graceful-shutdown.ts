/** Checks that a graceful shutdown breaks no request. */
import {isDisturbed} from '../is-disturbed.js';
import {Invariant} from '../invariant.js';
import {soakBounds} from '../soak-bounds.js';
import type {SoakRecord} from '../soak-record.js';

/** Callers use their open connections until the process exits. Skips requests near unplanned disturbances. */
export class GracefulShutdown extends Invariant {
	override readonly name = 'a graceful shutdown breaks no request';
	override readonly isTimed = true;

	override violations(record: SoakRecord): readonly string[] {
		const stops = record.disturbances.filter(({kind}) => kind === 'entry-stop');
		return record.jobs.flatMap(({id, attempts}) => attempts
			.filter(({outcome}) => outcome?.kind === 'broken')
			.filter(({entry, sentAt}) => stops.some(stop => stop.entry === entry && sentAt >= stop.from - soakBounds.callerTimeout && sentAt <= stop.from + soakBounds.shutdownGrace))
			.filter(({sentAt, endedAt}) => !isDisturbed(record, sentAt, endedAt ?? sentAt, ({isPlanned}) => !isPlanned))
			.map(({entry, sentAt, outcome}) => `${id} on ${entry}, sent at ${sentAt}: ${outcome?.kind === 'broken' ? outcome.detail : ''}`));
	}
}
