/** No task runs twice at the same time. */
import type {SoakRecord} from '../soak-record.js';
import {Invariant} from '../invariant.js';

/** Goes by what workers ran, whoever ordered it. */
export class SingleExecution extends Invariant {
	override readonly name = 'no task runs twice at the same time';
	override readonly isTimed = false;

	override violations({runs}: SoakRecord): readonly string[] {
		const running = new Map<string, Set<string>>();
		const found: string[] = [];
		for (const {kind, task, attempt, worker} of runs) {
			const on = running.get(task) ?? new Set<string>();
			running.set(task, on);
			if (kind === 'end') {
				on.delete(`${worker}/${attempt}`);
				continue;
			}

			on.add(`${worker}/${attempt}`);
			if (on.size > 1) {
				found.push(`${task} on ${[...on].join(' and ')}`);
			}
		}

		return found;
	}
}
