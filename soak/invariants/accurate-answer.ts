/** Checks that the state in an answer agrees with the run events of the job. */
import type {SoakRecord} from '../soak-record.js';
import {Invariant} from '../invariant.js';

const maximumTaskAttempts = 3;
/** Number of crashes after which a task may be abandoned. */
const crashLimit = 2;

/** `complete` requires that every task ended as `done` before the answer; `failed` requires a task that reached its limit of failures or crashes. */
export class AccurateAnswer extends Invariant {
	override readonly name = 'an answer agrees with the run events of its job';
	override readonly isTimed = false;

	override violations({jobs, runs}: SoakRecord): readonly string[] {
		const ends = new Map<string, {done: number; failed: number; crashed: number}>();
		for (const {kind, how, task, at} of runs) {
			const counts = ends.get(task) ?? {done: Number.POSITIVE_INFINITY, failed: 0, crashed: 0};
			ends.set(task, counts);
			if (kind === 'end' && how === 'done') {
				counts.done = Math.min(counts.done, at);
			} else if (kind === 'end' && how === 'failed') {
				counts.failed += 1;
			} else if (kind === 'end' && how === 'crashed') {
				counts.crashed += 1;
			}
		}

		return jobs.flatMap(({id, tasks, attempts}) => {
			const own = Array.from({length: tasks}, (_, index) => ends.get(`${id}.0.0.${index}`));
			return attempts.flatMap(({outcome, endedAt}) => {
				const state = outcome?.kind === 'answer' && outcome.status === 200 ? outcome.state : undefined;
				const isWrong = (state === 'complete' && own.some(counts => (counts?.done ?? Number.POSITIVE_INFINITY) > (endedAt ?? 0)))
					|| (state === 'failed' && own.every(counts => (counts?.failed ?? 0) < maximumTaskAttempts && (counts?.crashed ?? 0) < crashLimit));
				return isWrong ? [`${id} was answered ${String(state)}`] : [];
			});
		});
	}
}
