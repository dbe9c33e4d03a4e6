/** The outcomes of the runs on one target. */
import type {Clock} from '../../base/clock.js';
import type {Incarnation} from '../../base/incarnation.js';
import type {TargetRecord} from '../targets/target-record.js';
import type {LeaseSchedule} from './lease-schedule.js';
import type {RunOutcome} from './run-outcome.js';
import type {RunTable} from './run-table.js';
import type {Run} from './run.js';
import type {SessionListener} from './session-listener.js';

/** What the settlement works with. */
type RunSettlementParts = {
	readonly target: TargetRecord;
	readonly runs: RunTable;
	readonly lease: LeaseSchedule;
	readonly clock: Clock;
	readonly listener: SessionListener;
};

/** Takes runs off their target's table and tells their outcomes, and which tasks were lost with the target. */
export class RunSettlement {
	constructor(private readonly parts: RunSettlementParts) {}

	/** A run has ended, and holds no room any more. */
	end(run: Run, outcome: RunOutcome): void {
		this.parts.runs.remove(run);
		this.parts.listener.onDidEndRun(run, outcome);
	}

	/** Nothing runs there any more. */
	endAll(cause: string): void {
		for (const run of this.parts.runs) {
			this.end(run, {kind: 'gone', target: this.parts.target.id, cause});
		}
	}

	/** Ends all runs once their lease has: another owner may let them go on for its rest, and renews none that it doesn't know. */
	endAllWithLease(cause: string): void {
		const {clock} = this.parts;
		clock.schedule(Math.max(0, this.parts.lease.certainEnd - clock.now()), () => {
			this.endAll(cause);
		});
	}

	/** Tells which tasks are lost with the target; one that it has never said to have started may not be to blame for its end. */
	lose(status: 'silent' | 'down', incarnation: Incarnation | undefined, runs: readonly Run[]): void {
		const {onDidLose} = this.parts.listener;
		const begun = runs.filter(run => run.confirmedAtStep !== undefined);
		const unsure = runs.filter(run => run.confirmedAtStep === undefined);
		onDidLose(status, incarnation, begun.map(({request}) => request.task));
		onDidLose('unsure', incarnation, unsure.map(({request}) => request.task));
	}
}
