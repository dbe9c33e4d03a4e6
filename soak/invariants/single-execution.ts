/** Checks that no task runs concurrently with itself. */
import type {SoakRecord} from '../soak-record.js';
import {Invariant} from '../invariant.js';

/** Based on the run events of all workers, whichever entry sent the task. */
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
