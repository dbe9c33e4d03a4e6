/** Executors with in-memory targets. */
import type {FencingToken} from '../../src/base/fencing-token.js';
import type {MemberId} from '../../src/base/member-id.js';
import {Executor} from '../../src/features/execution/executor.js';
import type {ExecutionReport} from '../../src/features/execution/execution-report.js';
import {LossHistory} from '../../src/features/execution/loss-history.js';
import {TargetSpeeds} from '../../src/features/execution/target-speeds.js';
import {TargetHealth} from '../../src/features/placement/target-health.js';
import type {TargetRecord} from '../../src/features/targets/target-record.js';
import {FakeClock} from './fake-clock.js';
import {InMemoryTargets} from './in-memory-targets.js';
import {RecordingJournal} from './recording-journal.js';

/** Creates a fixture; each executor it creates comes with a list of the reports it has fired. */
export function createExecutorFixture() {
	const clock = new FakeClock();
	const orders = new InMemoryTargets(clock);
	const journal = new RecordingJournal();
	const createExecutor = (lastContact: (requester: MemberId) => number = () => clock.now(), learnsSpeeds = false) => {
		const executor = new Executor({
			leaseMilliseconds: 1000,
			lastContact,
			contactAtHandover: lastContact,
			checkPause() {
				// The entry isn't paused.
			},
			orders,
			health: new TargetHealth(journal),
			speeds: learnsSpeeds ? new TargetSpeeds(journal) : undefined,
			losses: new LossHistory(clock, journal),
			clock,
			journal,
		});
		const reports: ExecutionReport[] = [];
		executor.onDidReport(report => {
			reports.push(report);
		});
		return {executor, reports};
	};

	const assign = (executor: Executor, target: TargetRecord, fence: number) => {
		executor.assign(new Map([[target.id, {target, fence: fence as FencingToken}]]));
	};

	return {
		clock, orders, journal, createExecutor, assign,
	};
}
