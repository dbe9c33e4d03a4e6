/** Formats losses as text. */
import type {LossReason} from './loss-reason.js';
import {lossReasons} from './loss-reasons.js';
import {countLost} from './count-lost.js';
import type {SliceLosses} from './slice-losses.js';
import type {UnreadableLines} from './unreadable-lines.js';

/** Returns a table of tab-separated values: the totals first, then the slices with the most lost jobs. */
export function describeLosses(slices: readonly SliceLosses[], unreadable: UnreadableLines, most: number): readonly string[] {
	const queues = [...new Set(slices.map(({queue}) => queue))].sort();
	const total = sumSlices(slices, 'all');
	return [
		['from', 'queue', 'jobs', 'in time', 'late', 'refused', 'given up', 'unanswered', 'reasons, in jobs'].join('\t'),
		formatRow('whole', total),
		...queues.map(queue => formatRow('whole', sumSlices(slices.filter(slice => slice.queue === queue), queue))),
		...slices.slice(0, most).filter(slice => countLost(slice) > 0).map(slice => formatRow(`${(slice.fromMilliseconds / 1000).toFixed(1)} s`, slice)),
		`ignored lines: ${unreadable.notAnEvent} not events, ${unreadable.cut} truncated, ${unreadable.unknownEvent} of another version`,
	];
}

function formatRow(from: string, slice: SliceLosses): string {
	const {queue, counts, reasons} = slice;
	const jobs = counts.inTime + countLost(slice);
	const described = [...reasons].sort((left, right) => right[1] - left[1]).map(([reason, lost]) => `${reason} ${lost.toFixed(1)}`);
	return [from, queue, jobs, counts.inTime, counts.late, counts.refused, counts.givenUp, counts.unanswered, described.join(', ')].join('\t');
}

function sumSlices(slices: readonly SliceLosses[], queue: string): SliceLosses {
	const sum: SliceLosses = {
		fromMilliseconds: 0, queue, counts: {
			inTime: 0, late: 0, refused: 0, givenUp: 0, unanswered: 0,
		}, reasons: new Map<LossReason, number>(),
	};
	for (const {counts, reasons} of slices) {
		sum.counts.inTime += counts.inTime;
		sum.counts.late += counts.late;
		sum.counts.refused += counts.refused;
		sum.counts.givenUp += counts.givenUp;
		sum.counts.unanswered += counts.unanswered;
		for (const reason of lossReasons) {
			sum.reasons.set(reason, (sum.reasons.get(reason) ?? 0) + (reasons.get(reason) ?? 0));
		}
	}

	for (const [reason, lost] of sum.reasons) {
		if (lost === 0) {
			sum.reasons.delete(reason);
		}
	}

	return sum;
}
