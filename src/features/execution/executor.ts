/** Execution of tasks on all targets that this entry owns. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {JobId} from '../../base/job-id.js';
import {jobOfTask} from '../../base/job-of-task.js';
import type {MemberId} from '../../base/member-id.js';
import type {TaskId} from '../../base/task-id.js';
import {wait} from '../../base/wait.js';
import type {ClockGap} from '../../runtime/clock-gap.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {TargetHealth} from '../placement/target-health.js';
import type {TargetOrders} from '../targets/target-orders.js';
import {EndedTasks} from '../backlog/ended-tasks.js';
import type {ServiceCapacity} from '../backlog/service-capacity.js';
import {chooseTarget} from './choose-target.js';
import type {ExecutionReport} from './execution-report.js';
import type {FreeCapacity} from './free-capacity.js';
import type {Handover} from './handover.js';
import type {LossHistory} from './loss-history.js';
import type {OwnedTarget} from './owned-target.js';
import type {Run} from './run.js';
import {RunHealth} from './run-health.js';
import type {RunOutcome} from './run-outcome.js';
import type {RunRequest} from './run-request.js';
import {serviceCapacities} from './service-capacities.js';
import {slowdownOf} from './slowdown-of.js';
import type {TargetOffer} from './target-offer.js';
import type {TargetSession} from './target-session.js';
import {TargetSessions} from './target-sessions.js';
import type {TargetSpeeds} from './target-speeds.js';

/** How long a release waits for unanswered starts. */
const pendingStartGraceMilliseconds = 60;

/** Dependencies of the executor. */
type ExecutorParts = {
	readonly leaseMilliseconds: number;
	/** Returns the monotonic time at which a requester was last known to be alive. */
	readonly lastContact: (requester: MemberId) => number;
	/** Returns the monotonic time at which a requester was last known to be alive when runs of it were handed over to this entry. */
	readonly contactAtHandover: (requester: MemberId) => number;
	/** Finds out whether this entry was paused, so that `lastContact` takes it into account. */
	readonly checkPause: () => void;
	readonly orders: TargetOrders;
	readonly health: TargetHealth;
	/** Undefined if speeds aren't learned; all targets then count as equally fast. */
	readonly speeds?: TargetSpeeds | undefined;
	readonly losses: LossHistory;
	readonly clock: Clock;
	readonly journal: Journal;
};

/** Chooses a target for each run, starts and stops runs, and reports their outcomes. */
export class Executor implements Disposable {
	readonly #sessions: TargetSessions;
	readonly #reported = new Emitter<ExecutionReport>();
	readonly #changed = new Emitter<void>();
	readonly #clocksCompared = new Emitter<ClockGap>();
	readonly #endedTasks = new EndedTasks();
	readonly #health: RunHealth;

	constructor(private readonly parts: ExecutorParts) {
		this.#health = new RunHealth(parts.health, parts.speeds, parts.clock);
		this.#sessions = new TargetSessions({
			...parts,
			listener: {
				onDidEndRun: (session, run, outcome) => {
					this.#handleRunEnd(session, run, outcome);
				},
				onDidReport: session => {
					this.#stopOverdue(session);
				},
				onDidCompareClocks: gap => {
					this.#clocksCompared.fire(gap);
				},
				onDidChange: () => {
					this.#changed.fire();
				},
			},
		});
	}

	/** Fires once for each run, with its outcome. */
	get onDidReport() {
		return this.#reported.event;
	}

	/** Fires when a run is adopted from a former owner. */
	get onDidAdopt() {
		return this.#sessions.onDidAdopt;
	}

	/** Fires for each run before its target is released; a run that a listener stops isn't handed over. */
	get onWillRelease() {
		return this.#sessions.onWillRelease;
	}

	/** Fires when free capacity may have grown. */
	get onDidChangeFreeCapacity() {
		return this.#changed.event;
	}

	/** Fires with the time by which a target's clock advanced more than this entry's, which shows a suspension of this entry. */
	get onDidCompareClocks() {
		return this.#clocksCompared.event;
	}

	get ownedTargets(): number {
		return this.#sessions.size;
	}

	/** The free capacity of each target that accepts any task; targets to probe are left to this entry's own jobs. */
	get freeCapacity(): readonly FreeCapacity[] {
		const now = this.parts.clock.now();
		const free: FreeCapacity[] = [];
		for (const session of this.#sessions) {
			const {target} = session;
			const condition = this.parts.health.condition(target.id, now);
			if ((condition === 'fit' || condition === 'slow') && session.isOpen) {
				free.push(this.#freeCapacityOf(session));
			}
		}

		return free;
	}

	/** The free CPU of the target with the most of it, in thousandths of a core, whether it accepts tasks or not. */
	get largestFreeCpuMillis(): number {
		let largest = Number.NEGATIVE_INFINITY;
		for (const {freeCapacity} of this.#sessions) {
			largest = Math.max(largest, freeCapacity.cpuMillis);
		}

		return largest;
	}

	/** What the healthy targets of each service can do. */
	get serviceCapacities(): readonly ServiceCapacity[] {
		const {health, clock} = this.parts;
		const now = clock.now();
		return serviceCapacities(this.#sessions, health, now).map(capacity => ({...capacity, endedTasks: this.#endedTasks.perSecond(capacity.service, now)}));
	}

	/** The entries that requested the current runs, once for each run. */
	* requesters(): Iterable<MemberId> {
		for (const session of this.#sessions.withClosing()) {
			for (const {requester} of session.runs) {
				yield requester;
			}
		}
	}

	/** The runs of a job's tasks that may go on, also on targets that were released. */
	* runsOf(job: JobId): Iterable<Run> {
		for (const session of this.#sessions.withClosing()) {
			for (const run of session.runs) {
				if (jobOfTask(run.request.task) === job) {
					yield run;
				}
			}
		}
	}

	/** Opens sessions for new targets, updates existing ones, and abandons those of targets that are no longer owned. */
	assign(owned: ReadonlyMap<InstanceId, OwnedTarget>): void {
		this.#sessions.assign(owned);
		this.parts.health.retain(new Set(owned.keys()));
		this.#retainSpeeds();
		this.#changed.fire();
	}

	/** Closes the sessions of targets and returns their runs for the next owner. */
	async release(ids: ReadonlySet<InstanceId>): Promise<readonly Handover[]> {
		const leaving = this.#sessions.prepareRelease(ids);
		if (leaving.some(session => session.hasPendingStarts)) {
			await wait(this.parts.clock, pendingStartGraceMilliseconds);
		}

		const handovers = leaving.map(session => this.#sessions.release(session));
		this.#retainSpeeds();
		return handovers;
	}

	/** Adopts the runs of a handover, now or once the target is owned. */
	receiveHandover(handover: Handover): void {
		this.#sessions.receiveHandover(handover);
	}

	/** Records that the requester of an adopted run knows its new owner. */
	acknowledgeAdoption(task: string, attempt: number): void {
		for (const session of this.#sessions) {
			session.acknowledgeAdoption(task, attempt);
		}
	}

	/** Whether any attempt of a task may be running. */
	isRunning(task: TaskId): boolean {
		return this.#sessions.isRunning(task);
	}

	/** Finds the target on which a run would be started; undefined if none is eligible. */
	offer(request: RunRequest, requester: MemberId): TargetOffer | undefined {
		const choice = chooseTarget(this.#sessions, request, {...this.parts, requester, now: this.parts.clock.now()});
		if (choice === undefined) {
			return undefined;
		}

		const {session, isInTime, isInTimeByCapacity} = choice;
		const {id, labels} = session.target;
		return {
			slowdown: this.parts.speeds?.slowdown(id, this.parts.clock.now()) ?? 1, labels, isInTime, isInTimeByCapacity, accept: () => this.#startOn(session, request, requester),
		};
	}

	/** Starts a run and returns its target; undefined if no target is eligible. */
	start(request: RunRequest, requester: MemberId): InstanceId | undefined {
		return this.offer(request, requester)?.accept();
	}

	/** Requests a report with runs and clock from all targets. */
	pollTargets(): void {
		for (const session of this.#sessions) {
			session.poll();
		}
	}

	/** Stops a run that nobody waits for any more, or has waited for since the given time before the requester's last contact. */
	stop(task: string, attempt: number, cause: string, unreadMilliseconds = 0): void {
		for (const session of this.#sessions.withClosing()) {
			session.abandonRun({task, attempt}, cause, unreadMilliseconds);
		}
	}

	/** Stops all runs that an entry requested, since their tasks can't start elsewhere before. */
	stopRunsOf(requester: MemberId, cause: string): void {
		for (const session of this.#sessions.withClosing()) {
			for (const run of session.runs) {
				if (run.requester === requester) {
					session.abandonRun(run.request, cause);
				}
			}
		}
	}

	/** Records time that only the wall clock counted: if this entry was suspended, runs were abandoned earlier by it. */
	recordSkippedTime(milliseconds: number): void {
		this.#sessions.clocks.recordSkippedTime(milliseconds);
		this.#sessions.makeAbandonedEarlier(milliseconds);
	}

	/** Records a suspension that the wall clock didn't count, from before and after which there are readings of the targets' clocks. */
	recordHiddenSuspension(milliseconds: number): void {
		this.#sessions.clocks.discardReadings();
		this.#sessions.makeAbandonedEarlier(milliseconds);
	}

	/** Records how much of the skipped time was a suspension: all or nothing. */
	explainSkippedTime(suspendedMilliseconds: number): void {
		this.#sessions.clocks.explainSkippedTime(suspendedMilliseconds);
	}

	dispose(): void {
		this.#sessions.dispose();
	}

	#startOn(session: TargetSession, request: RunRequest, requester: MemberId): InstanceId {
		const {clock, health, journal} = this.parts;
		const {target} = session;
		if (health.condition(target.id, clock.now()) === 'probe') {
			health.beginProbe(target.id);
		}

		journal.record('runStarted', {
			task: request.task, attempt: request.attempt, target: target.id, fence: session.fence, roomCpuMillis: session.freeCapacity.cpuMillis, cpuMillis: request.need.cpuMillis, requester,
		});
		session.start({
			request,
			requester,
			slowdown: slowdownOf(request.place, target.labels),
			isAcknowledged: true,
			state: 'starting',
			startedAt: clock.now(),
			confirmedAtStep: undefined,
			stopConfirmedAtStep: undefined,
			stopCause: undefined,
			abandonedAt: undefined,
			stopRequestedAt: undefined,
		});
		return target.id;
	}

	#retainSpeeds(): void {
		this.parts.speeds?.retain([...this.#sessions].map(({target}) => target));
	}

	#freeCapacityOf({target: {id, service, labels}, freeCapacity: room}: TargetSession): FreeCapacity {
		const slowdown = this.parts.speeds?.slowdown(id, this.parts.clock.now()) ?? 1;
		return {
			service, labels, room, ...(slowdown !== 1 && {slowdown}),
		};
	}

	/** Stops the overdue runs of a slow or stuck target, so that their tasks can start elsewhere. */
	#stopOverdue(session: TargetSession): void {
		const [first, ...others] = session.findOverdue(this.parts.speeds?.allowance(session.target.id, this.parts.clock.now()) ?? 1);
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

	#handleRunEnd(session: TargetSession, run: Run, outcome: RunOutcome): void {
		const {request, requester} = run;
		const now = this.parts.clock.now();
		const reportedOutcome = this.#health.report(session.target.id, run, outcome);
		if (outcome.kind === 'done' || outcome.kind === 'failed') {
			this.#endedTasks.record(session.target.service, now);
		}

		this.parts.journal.record('runEnded', {
			task: request.task,
			attempt: request.attempt,
			target: session.target.id,
			outcome: reportedOutcome.kind,
			cause: 'cause' in reportedOutcome ? reportedOutcome.cause : undefined,
			ranMilliseconds: Math.round(now - run.startedAt),
			stopMilliseconds: run.stopRequestedAt === undefined ? undefined : Math.round(now - run.stopRequestedAt),
		});
		this.#fireReport(requester, request, reportedOutcome);
		this.#changed.fire();
	}

	#fireReport(requester: MemberId, request: RunRequest, outcome: RunOutcome): void {
		this.#reported.fire({
			requester, task: request.task, attempt: request.attempt, outcome,
		});
	}
}
