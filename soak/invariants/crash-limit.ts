/** Checks that a task which repeatedly crashes workers is abandoned. */
import type {SoakRecord} from '../soak-record.js';
import {Invariant} from '../invariant.js';

const crashLimit = 3;
const excessStarts = 3;

/** After three crashes, a task must not be started three more times, counted across all entries. */
export class CrashLimit extends Invariant {
	override readonly name = 'a task that crashes its workers is abandoned';
	override readonly isTimed = false;

	override violations({runs}: SoakRecord): readonly string[] {
		const tasks = new Map<string, {crashes: number; startsAfter: number}>();
		for (const {kind, how, task} of runs) {
			const counts = tasks.get(task) ?? {crashes: 0, startsAfter: 0};
			tasks.set(task, counts);
			if (kind === 'start' && counts.crashes >= crashLimit) {
				counts.startsAfter += 1;
			} else if (kind === 'end' && how === 'crashed') {
				counts.crashes += 1;
			}
		}

		return [...tasks].filter(([, counts]) => counts.startsAfter >= excessStarts).map(([task, counts]) => `${task}: ${counts.crashes} crashes`);
	}
}
