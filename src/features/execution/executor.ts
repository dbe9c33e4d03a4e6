/** The runs on all targets that this entry owns. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {InstanceId} from '../../base/instance-id.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import {wait} from '../../base/wait.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {UncountedTime} from '../../runtime/uncounted-time.js';
import type {TargetHealth} from '../placement/target-health.js';
import type {TargetOrders} from '../targets/target-orders.js';
import {chooseTarget} from './choose-target.js';
import type {ExecutionReport} from './execution-report.js';
import type {Handover} from './handover.js';
import type {LossHistory} from './loss-history.js';
import type {OwnedTarget} from './owned-target.js';
import type {FreeCapacity} from './free-capacity.js';
import type {Run} from './run.js';
import type {RunOutcome} from './run-outcome.js';
import type {RunRequest} from './run-request.js';
import {slowdownOf} from './slowdown-of.js';
import type {TargetSession} from './target-session.js';
import {TargetSessions} from './target-sessions.js';

/** How long a release waits for starts that are under way. */
const pendingStartMilliseconds = 60;

/** What the executor works with. */
type ExecutorParts = {
	readonly leaseMilliseconds: number;
	readonly orders: TargetOrders;
	readonly health: TargetHealth;
	readonly losses: LossHistory;
	readonly clock: Clock;
	readonly journal: Journal;
};

/** Chooses the target for a run, and reports each run's outcome. */
export class Executor implements Disposable {
	readonly #sessions: TargetSessions;
	readonly #report = new Emitter<ExecutionReport>();
	readonly #change = new Emitter<void>();
	readonly #compareClocks = new Emitter<UncountedTime>();

	constructor(private readonly parts: ExecutorParts) {
		this.#sessions = new TargetSessions({
			...parts,
			listener: {
				onDidEndRun: (session, run, outcome) => {
					this.#ended(session, run, outcome);
				},
				onDidReport: session => {
					this.#stopOverdue(session);
				},
				onDidCompareClocks: uncounted => {
					this.#compareClocks.fire(uncounted);
				},
				onDidChange: () => {
					this.#change.fire();
				},
			},
		});
	}

	/** Fires with each outcome, once a run. */
	get onDidReport() {
		return this.#report.event;
	}

	/** Fires when a former owner's run goes on under this entry. */
	get onDidAdopt() {
		return this.#sessions.onDidAdopt;
	}

	/** Fires for each run before its target is given up; one that is stopped then isn't handed over. */
	get onWillRelease() {
		return this.#sessions.onWillRelease;
	}

	/** Fires when there may be more room than before. */
	get onDidChangeFreeCapacity() {
		return this.#change.event;
	}

	/** Fires with each report of a target; a suspended machine learns from it that it stood still. */
	get onDidCompareClocks() {
		return this.#compareClocks.event;
	}

	get ownedTargets(): number {
		return this.#sessions.size;
	}

	/** The room of each target that takes any task now; one that is to be probed is left to this entry's own jobs. */
	get freeCapacity(): readonly FreeCapacity[] {
		const now = this.parts.clock.now();
		return [...this.#sessions]
			.filter(session => session.isOpen && ['fit', 'slow'].includes(this.parts.health.condition(session.target.id, now)))
			.map(session => ({service: session.target.service, labels: session.target.labels, room: session.room}));
	}

	/** The entries whose tasks run here. */
	* requesters(): Iterable<MemberId> {
		for (const session of this.#sessions) {
			for (const {requester} of session.runs) {
				yield requester;
			}
		}
	}

	/** Opens sessions for targets that came, and updates the others; those that went are dropped with their runs' lease. */
	assign(owned: ReadonlyMap<InstanceId, OwnedTarget>): void {
		this.#sessions.assign(owned);
		this.parts.health.retain(new Set(owned.keys()));
		this.#change.fire();
	}

	/** Gives up targets so that the next owner can go on with what runs there; returns what it has to know. */
	async release(ids: ReadonlySet<InstanceId>): Promise<readonly Handover[]> {
		const leaving = this.#sessions.prepareRelease(ids);
		if (leaving.some(session => session.hasPendingStarts)) {
			await wait(this.parts.clock, pendingStartMilliseconds);
		}

		return leaving.map(session => this.#sessions.release(session));
	}

	/** Keeps a former owner's word until the target is this entry's. */
	receiveHandover(handover: Handover): void {
		this.#sessions.expect(handover);
	}

	/** Whether any attempt of a task runs here, or may run. */
	isRunning(task: TaskId): boolean {
		for (const session of this.#sessions) {
			if (session.hasRunOf(task)) {
				return true;
			}
		}

		return false;
	}

	/** Starts a run on the fullest target that has room for it; returns the target, or nothing where none has room. */
	start(request: RunRequest, requester: MemberId): InstanceId | undefined {
		const session = chooseTarget(this.#sessions, request, {...this.parts, now: this.parts.clock.now()});
		if (session === undefined) {
			return undefined;
		}

		const {clock, health, journal} = this.parts;
		const {target} = session;
		if (health.condition(target.id, clock.now()) === 'probe') {
			health.beginProbe(target.id);
		}

		journal.record('runStarted', {
			task: request.task, attempt: request.attempt, target: target.id, fence: session.fence, roomCpuMillis: session.room.cpuMillis, cpuMillis: request.need.cpuMillis, requester,
		});
		session.start({
			request, requester, slowdown: slowdownOf(request.place, target.labels), state: 'starting', startedAt: clock.now(), confirmedAtStep: undefined, stopConfirmedAtStep: undefined, stopCause: undefined,
		});
		return target.id;
	}

	/** Asks all targets what runs there, and what time it is by their clocks. */
	pollTargets(): void {
		for (const session of this.#sessions) {
			session.look();
		}
	}

	stop(task: string, attempt: number, cause: string): void {
		for (const session of this.#sessions) {
			session.stop(task, attempt, cause);
		}
	}

	/** Stops all runs that an entry asked for: nobody else may start them while they go on. */
	stopRunsOf(requester: MemberId, cause: string): void {
		for (const session of this.#sessions) {
			for (const run of session.runs) {
				if (run.requester === requester) {
					session.stop(run.request.task, run.request.attempt, cause);
				}
			}
		}
	}

	dispose(): void {
		this.#sessions.dispose();
	}

	/** A target that works slowly or not at all would hold its tasks to their jobs' end: they're better begun elsewhere. */
	#stopOverdue(session: TargetSession): void {
		const [first, ...others] = session.findOverdue();
		if (first === undefined) {
			return;
		}

		const {clock, health, journal} = this.parts;
		const now = clock.now();
		journal.record('targetOverdue', {
			target: session.target.id, runs: others.length + 1, ranMilliseconds: Math.round(now - first.startedAt), expectedMilliseconds: Math.round(first.request.expectedMilliseconds),
		});
		health.suspend(session.target.id, 'overdue', now);
		for (const {request} of [first, ...others]) {
			session.stop(request.task, request.attempt, 'overdue');
		}
	}

	#ended(session: TargetSession, run: Run, outcome: RunOutcome): void {
		const {request, requester} = run;
		const judged = this.#judge(session, run, outcome);
		this.parts.journal.record('runEnded', {
			task: request.task,
			attempt: request.attempt,
			target: session.target.id,
			outcome: judged.kind,
			cause: 'cause' in judged ? judged.cause : undefined,
			ranMilliseconds: Math.round(this.parts.clock.now() - run.startedAt),
		});
		this.#fire(requester, request, judged);
		this.#change.fire();
	}

	/** Feeds the target's health with the end, and says whether the target is to blame for a failure. */
	#judge(session: TargetSession, run: Run, outcome: RunOutcome): RunOutcome {
		const {health, clock} = this.parts;
		const {id} = session.target;
		const now = clock.now();
		const end = {
			target: id,
			profile: run.request.queue,
			runMilliseconds: now - run.startedAt,
			expectedMilliseconds: run.slowdown * run.request.expectedMilliseconds,
			job: jobOfTask(run.request.task),
			hasFailedElsewhere: run.request.excludedTargets.length > 0,
		};
		if (outcome.kind === 'done') {
			health.report({...end, outcome: 'result'}, now);
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

	#fire(requester: MemberId, request: RunRequest, outcome: RunOutcome): void {
		this.#report.fire({
			requester, task: request.task, attempt: request.attempt, outcome,
		});
	}
}
