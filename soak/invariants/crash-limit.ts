/** A task that crashes its workers is given up. */
import type {SoakRecord} from '../soak-record.js';
import {Invariant} from '../invariant.js';

const crashesKnown = 3;
const startsAfter = 3;

/** After three workers have crashed under a task it isn't started three times more, by whichever entry. */
export class CrashLimit extends Invariant {
	override readonly name = 'a task that crashes its workers is given up';
	override readonly isTimed = false;

	override violations({runs}: SoakRecord): readonly string[] {
		const tasks = new Map<string, {crashes: number; startsAfter: number}>();
		for (const {kind, how, task} of runs) {
			const counts = tasks.get(task) ?? {crashes: 0, startsAfter: 0};
			tasks.set(task, counts);
			if (kind === 'start' && counts.crashes >= crashesKnown) {
				counts.startsAfter += 1;
			} else if (kind === 'end' && how === 'crashed') {
				counts.crashes += 1;
			}
		}

		return [...tasks].filter(([, counts]) => counts.startsAfter >= startsAfter).map(([task, counts]) => `${task}: ${counts.crashes} crashes`);
	}
}
