/** Outcomes of the runs on one target. */
import type {Clock} from '../../base/clock.js';
import type {Incarnation} from '../../base/incarnation.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {LeaseSchedule} from './lease-schedule.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';
import type {RunTable} from './run-table.js';
import type {SessionListener} from './session-listener.js';

/** Dependencies of the settlement. */
type RunSettlementParts = {
	readonly target: TargetRecord;
	readonly runs: RunTable;
	readonly lease: LeaseSchedule;
	readonly clock: Clock;
	readonly listener: SessionListener;
};

/** Removes ended runs from their target's table and reports their outcomes, and the tasks that were lost with the target. */
export class RunSettlement {
	constructor(private readonly parts: RunSettlementParts) {}

	/** Frees the capacity of a run and reports its outcome. */
	end(run: Run, outcome: RunOutcome): void {
		this.parts.runs.remove(run);
		this.parts.listener.onDidEndRun(run, outcome);
	}

	/** Reports all runs as gone. */
	endAll(cause: string): void {
		for (const run of this.parts.runs) {
			this.end(run, {kind: 'gone', target: this.parts.target.id, cause});
		}
	}

	/** Reports all runs as gone once their lease has expired; the next owner doesn't renew runs that weren't handed over. */
	endAllAfterLease(cause: string): void {
		const {clock} = this.parts;
		clock.schedule(Math.max(0, this.parts.lease.latestEnd - clock.now()), () => {
			this.endAll(cause);
		});
	}

	/** Reports the tasks that were lost with the target; `unsure` for those whose start it never confirmed. */
	reportLost(status: 'silent' | 'down', incarnation: Incarnation | undefined, runs: readonly Run[]): void {
		const {onDidLoseTasks} = this.parts.listener;
		const confirmed = runs.filter(run => run.confirmedAtStep !== undefined);
		const unconfirmed = runs.filter(run => run.confirmedAtStep === undefined);
		onDidLoseTasks(status, incarnation, confirmed.map(({request}) => request.task));
		onDidLoseTasks('unsure', incarnation, unconfirmed.map(({request}) => request.task));
	}
}
