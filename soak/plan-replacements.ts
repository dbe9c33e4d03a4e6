/** Schedules a rolling replacement of the entries. */
import type {PlannedFault} from './planned-fault.js';
import {soakBounds} from './soak-bounds.js';

/** Stops each entry once, gracefully and one after the other, at even intervals until the fault-free end; a restart begins the next bundle. */
export function planReplacements(entries: number, milliseconds: number): readonly PlannedFault[] {
	const interval = (milliseconds - soakBounds.faultFreeEnd) / (entries + 1);
	return Array.from({length: entries}, (_, index) => ({
		kind: 'entry-stop', at: Math.round((index + 1) * interval), duration: 0, index,
	}));
}
