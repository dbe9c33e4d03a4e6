/** Runs on a target that its owner doesn't know. */
import type {TaskId} from '../../base/task-id.js';
import {runKeyOf} from './run-key-of.js';
import type {RunTable} from './run-table.js';

/** How long they may go on while the former owner's word of them may still come. */
const waitMilliseconds = 250;

type ReportedRun = {readonly task: TaskId; readonly attempt: number};

/**
 * Runs of a former owner. While there are any, nothing is renewed and nothing is started: their jobs may have been submitted
 * again, and they must not go on beside that.
 */
export class UnknownRuns {
	#keys: ReadonlySet<string> = new Set();

	constructor(private readonly openedAt: number) {}

	get areThere(): boolean {
		return this.#keys.size > 0;
	}

	/** Takes a report's runs; returns those that have to be stopped, since nobody's word of them came in time. */
	take(running: readonly ReportedRun[], known: RunTable, now: number): readonly ReportedRun[] {
		const strangers = running.filter(run => known.named(run) === undefined);
		this.#keys = new Set(strangers.map(run => runKeyOf(run)));
		return now - this.openedAt < waitMilliseconds ? [] : strangers;
	}

	/** Some of them are known now. */
	forget(known: RunTable): void {
		const keys = new Set([...known].map(run => runKeyOf(run.request)));
		this.#keys = new Set([...this.#keys].filter(key => !keys.has(key)));
	}
}
