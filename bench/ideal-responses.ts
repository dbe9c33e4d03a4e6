/** The yardstick: one queue for each zone, with nothing lost between tasks. */
import type {PlannedJob} from './planned-job.js';

/**
 * Response times in milliseconds of the same jobs, if each zone had one queue in the order of arrival, all slots alike,
 * and a task started the instant that a slot is free.
 */
export function idealResponses(jobs: readonly PlannedJob[], slotsPerZone: number): readonly number[] {
	const zones = new Map<string, number[]>();
	return jobs.map(job => {
		const freeAt = zones.get(job.zone) ?? Array.from({length: slotsPerZone}, () => 0);
		zones.set(job.zone, freeAt);
		let end = job.at;
		for (const run of job.runs) {
			const slot = earliest(freeAt);
			const startedAt = Math.max(job.at, freeAt[slot]!);
			freeAt[slot] = startedAt + run;
			end = Math.max(end, startedAt + run);
		}

		return end - job.at;
	});
}

function earliest(times: readonly number[]): number {
	let best = 0;
	for (const [index, time] of times.entries()) {
		if (time < times[best]!) {
			best = index;
		}
	}

	return best;
}
