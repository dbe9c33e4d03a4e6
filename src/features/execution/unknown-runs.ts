/** Runs on a target that its owner doesn't know. */
import type {TaskId} from '../../base/task-id.js';
import {runKeyOf} from './run-key-of.js';
import type {RunTable} from './run-table.js';

/** How long unknown runs are left running while a handover from the former owner may still arrive. */
const handoverGraceMilliseconds = 250;

type ReportedRun = {readonly task: TaskId; readonly attempt: number};

/**
 * Tracks runs that a former owner started. While there are any, the lease isn't renewed and nothing is started: their jobs
 * may have been resubmitted, and their tasks must not run twice.
 */
export class UnknownRuns {
	#keys: ReadonlySet<string> = new Set();

	constructor(private readonly openedAt: number) {}

	get hasAny(): boolean {
		return this.#keys.size > 0;
	}

	/** Replaces the unknown runs by those of a report; returns those to stop, for which no handover arrived in time. */
	update(running: readonly ReportedRun[], known: RunTable, now: number): readonly ReportedRun[] {
		const unknown = running.filter(run => known.get(run) === undefined);
		this.#keys = new Set(unknown.map(run => runKeyOf(run)));
		return now - this.openedAt < handoverGraceMilliseconds ? [] : unknown;
	}

	/** Removes runs that are known now. */
	removeKnown(known: RunTable): void {
		const keys = new Set([...known].map(run => runKeyOf(run.request)));
		this.#keys = new Set([...this.#keys].filter(key => !keys.has(key)));
	}
}
