/** No process ends or errs by itself, and nothing goes on running for nobody. */
import {Invariant} from '../invariant.js';
import type {SoakRecord} from '../soak-record.js';

/** Goes by exits, by errors that reached the top of a process, and by what workers run when all is over. */
export class CleanTermination extends Invariant {
	override readonly name = 'no process ends by itself and nothing runs on for nobody';
	override readonly isTimed = false;

	override violations({exits, defects, leftovers}: SoakRecord): readonly string[] {
		return [...exits, ...defects, ...leftovers.map(task => `${task} still runs`)];
	}
}
