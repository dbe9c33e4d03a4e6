/** What the ends of runs say of their targets. */
import type {Clock} from '../../base/clock.js';
import type {InstanceId} from '../../base/instance-id.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {TargetHealth} from '../placement/target-health.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';
import type {TargetSpeeds} from './target-speeds.js';

/** Reports ended runs to the health and the speeds of their targets. */
export class RunHealth {
	constructor(private readonly health: TargetHealth, private readonly speeds: TargetSpeeds | undefined, private readonly clock: Clock) {}

	/** Reports the end of a run; returns the outcome, with `isTargetSuspect` set for a failure on an ejected target. */
	report(id: InstanceId, run: Run, outcome: RunOutcome): RunOutcome {
		const {health, speeds} = this;
		const now = this.clock.now();
		const expectedMilliseconds = run.slowdown * run.request.expectedMilliseconds;
		const end = {
			target: id,
			profile: run.request.queue,
			runMilliseconds: now - run.startedAt,
			expectedMilliseconds: expectedMilliseconds * (speeds?.allowance(id, now) ?? 1),
			job: jobOfTask(run.request.task),
			hasFailedElsewhere: run.request.excludedTargets.length > 0,
		};
		if (outcome.kind === 'done') {
			health.report({...end, outcome: 'result'}, now);
			if (run.isAdopted === undefined) {
				speeds?.record(id, {runMilliseconds: now - run.startedAt, expectedMilliseconds}, now);
			}
		} else if (outcome.kind === 'failed') {
			health.report({...end, outcome: 'failure'}, now);
			return {...outcome, isTargetSuspect: health.condition(id, now) === 'out'};
		} else if (outcome.kind === 'refused' && outcome.cause === 'targetRefused') {
			health.report({...end, outcome: 'lost'}, now);
		} else {
			health.cancelProbe(id);
		}

		return outcome;
	}
}
