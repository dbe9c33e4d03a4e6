/** Checks for unexpected exits, unhandled errors, undecodable messages and orphaned tasks. */
import {Invariant} from '../invariant.js';
import type {SoakRecord} from '../soak-record.js';

/** Orphaned tasks are those that still run after all callers have finished and all faults have ended. */
export class CleanTermination extends Invariant {
	override readonly name = 'no process exits unexpectedly and no task is orphaned';
	override readonly isTimed = false;

	override violations({exits, defects, leftovers}: SoakRecord): readonly string[] {
		return [...exits, ...defects, ...leftovers.map(task => `${task} is still running`)];
	}
}
