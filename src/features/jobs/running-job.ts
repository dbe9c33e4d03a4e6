/** Runs one job. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import {CancellationSource} from '../../base/cancellation-source.js';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {JobAnswer} from '../../base/job-answer.js';
import type {TaskAnswer} from '../../base/task-answer.js';
import type {TaskId} from '../../base/task-id.js';
import type {TicketId} from '../../base/ticket-id.js';
import type {Verdict} from '../../base/verdict.js';
import type {GrantedSlot} from '../placement/granted-slot.js';
import type {JobRefusal} from '../placement/job-refusal.js';
import type {PlacementRequest} from '../placement/placement-request.js';
import {combineVerdicts} from './combine-verdicts.js';
import type {Job} from './job.js';
import type {JobTask} from './job-task.js';
import type {JobDependencies} from './job-dependencies.js';

const priorityFactors = {urgent: 4, normal: 1, background: 0.25};
/** Refusals that another zone may not share. */
const zoneCauses: ReadonlySet<JobRefusal['cause']> = new Set(['noTarget', 'deadlineUnreachable', 'queueFull', 'neverPlaceable']);

type Outcome = Extract<PlacementRequest, {kind: 'release'}>['outcome'];
type Want = Extract<PlacementRequest, {kind: 'want'}>;

/**
 * Asks for slots, starts each task when it has one, and settles the job's verdict once. What still waits or runs at that
 * moment is withdrawn or stopped. A task is started again only on proof that it did not run.
 */
export class RunningJob {
	readonly #tasks: readonly JobTask[];
	readonly #byTicket = new Map<TicketId, JobTask>();
	readonly #triedZones = new Set<AvailabilityZone>();
	#zone: AvailabilityZone;
	#label: string | undefined;
	#isConcluded = false;
	#conclude: ((verdict: Verdict<JobAnswer>) => void) | undefined;

	constructor(private readonly job: Job, private readonly tools: JobDependencies) {
		this.#tasks = job.tasks.map((specification, index) => {
			const id = `${job.id}/${index}` as TaskId;
			return {
				index, id, specification, attempt: 0, ticket: `${id}:0` as TicketId, hasStarted: false, excluded: [], stop: undefined, verdict: undefined,
			};
		});
		this.#label = tools.guard.labelFor(job.revision, job.id);
		this.#zone = tools.zones.next(this.#triedZones)!;
	}

	async run(token: CancellationToken): Promise<Verdict<JobAnswer>> {
		const verdict = new Promise<Verdict<JobAnswer>>(resolve => {
			this.#conclude = resolve;
		});
		const registration = token.onDidRequestCancellation(() => {
			this.#cancel();
		});
		this.#askZone(this.#zone);
		const concluded = await verdict;
		registration.dispose();
		return concluded;
	}

	#askZone(zone: AvailabilityZone): void {
		this.#zone = zone;
		this.#triedZones.add(zone);
		this.#want(this.#tasks, false);
	}

	#want(tasks: readonly JobTask[], isAdmitted: boolean): void {
		for (const task of tasks) {
			this.#byTicket.set(task.ticket, task);
		}

		this.tools.slots.requestSlots(this.#zone, this.#wantOf(tasks, isAdmitted), this.job.deadlineAt, {
			onDidGrant: slot => {
				this.#granted(slot);
			},
			onDidRefuse: (ticket, refusal) => {
				this.#refused(ticket, refusal);
			},
		});
	}

	#wantOf(tasks: readonly JobTask[], isAdmitted: boolean): Want {
		const {profile} = this.job.revision;
		return {
			kind: 'want',
			job: this.job.id,
			profile: profile.name,
			weight: profile.weight * priorityFactors[profile.priority],
			limits: profile.limits,
			remainingMilliseconds: this.#remaining(),
			limitMilliseconds: profile.taskLimitMilliseconds,
			isAdmitted,
			tasks: tasks.map(task => this.#wantedTask(task)),
		};
	}

	#wantedTask(task: JobTask): Want['tasks'][number] {
		const {profile} = this.job.revision;
		const {specification} = task;
		const trial = profile.variant?.label;
		const isVariant = this.#label !== undefined;
		return {
			ticket: task.ticket,
			memoryMegabytes: specification.memoryMegabytes ?? profile.sizes.memoryMegabytes,
			accelerators: specification.accelerators ?? profile.sizes.accelerators,
			labels: this.#label === undefined ? profile.labels : [...profile.labels, this.#label],
			avoided: trial === undefined || isVariant ? [] : [trial],
			excluded: task.excluded,
			declaredMilliseconds: specification.declaredMilliseconds,
		};
	}

	#granted({ticket, target}: GrantedSlot): void {
		const task = this.#byTicket.get(ticket);
		// The deadline is checked here again: the entry may have been paused since it asked.
		if (task === undefined || this.#isConcluded || this.#remaining() <= 0) {
			this.tools.slots.release(ticket, 'unused', 0);
			this.#failLate(task);
			return;
		}

		void this.#start(task, target);
	}

	async #start(task: JobTask, target: GrantedSlot['target']): Promise<void> {
		const {tools, job} = this;
		const source = new CancellationSource();
		const wasStarted = task.hasStarted;
		task.hasStarted = true;
		task.stop = {
			dispose() {
				source.cancel();
			},
		};
		tools.budget.recordStart();
		tools.journal.record('taskStarted', {
			task: task.id, target: target.id, attempt: task.attempt, profile: job.revision.profile.name, variant: this.#label,
		});
		const startedAt = tools.clock.now();
		const verdict = await tools.driver.run(target, {
			taskId: task.id,
			profile: job.revision.profile.name,
			payload: task.specification.payload,
			limitMilliseconds: Math.min(job.revision.profile.taskLimitMilliseconds, this.#remaining()),
		}, source.token);
		task.stop = undefined;
		const elapsed = tools.clock.now() - startedAt;
		tools.slots.release(task.ticket, outcomeOf(verdict), elapsed);
		tools.journal.record('taskEnded', {
			task: task.id, target: target.id, verdict: verdict.kind, milliseconds: Math.round(elapsed),
		});
		tools.metrics.timing('task', elapsed, {verdict: verdict.kind});
		if (verdict.kind === 'notRun') {
			task.hasStarted = wasStarted;
			this.#retry(task, target, verdict);
			return;
		}

		tools.guard.recordTask(job.revision, this.#label !== undefined, verdict.kind === 'answered' && verdict.answer.kind === 'result', elapsed);
		this.#ended(task, verdict);
	}

	/** The target proved that it didn't run the task; the same ticket number is never used twice. */
	#retry(task: JobTask, target: GrantedSlot['target'], verdict: Extract<Verdict<TaskAnswer>, {kind: 'notRun'}>): void {
		const {tools, job} = this;
		if (this.#isConcluded || task.attempt >= job.revision.profile.retries || this.#remaining() <= 0 || !tools.budget.tryTake()) {
			this.#ended(task, verdict);
			return;
		}

		task.excluded.push(target.id);
		this.#leaveVariant();
		this.#nextTicket(task);
		tools.journal.record('taskRetried', {task: task.id, attempt: task.attempt, refusedBy: target.id});
		this.#want([task], true);
	}

	#nextTicket(task: JobTask): void {
		this.#byTicket.delete(task.ticket);
		task.attempt += 1;
		task.ticket = `${task.id}:${task.attempt}` as TicketId;
	}

	/** No caller pays for a trial: what the variant's targets don't take goes to the base. */
	#leaveVariant(): boolean {
		const wasVariant = this.#label !== undefined;
		this.#label = undefined;
		return wasVariant;
	}

	#refused(ticket: TicketId, refusal: JobRefusal): void {
		const task = this.#byTicket.get(ticket);
		if (task === undefined || this.#isConcluded || task.verdict !== undefined) {
			return;
		}

		if (this.#tasks.some(other => other.hasStarted)) {
			this.#ended(task, {...refusal, kind: 'notRun'});
			return;
		}

		this.#refusedWhole(task, refusal);
	}

	/** Nothing has started yet: the whole job may go elsewhere. */
	#refusedWhole(task: JobTask, refusal: JobRefusal): void {
		this.tools.slots.withdraw(this.#tasks.map(other => other.ticket));
		if (zoneCauses.has(refusal.cause) && this.#leaveVariant()) {
			this.#askAgain(this.#zone);
			return;
		}

		this.tools.zones.recordRefusal(this.#zone);
		const next = zoneCauses.has(refusal.cause) ? this.tools.zones.next(this.#triedZones) : undefined;
		if (next === undefined) {
			this.#ended(task, {...refusal, kind: 'notRun'});
			return;
		}

		this.tools.journal.record('jobSpilled', {
			job: this.job.id, from: this.#zone, to: next, cause: refusal.cause,
		});
		this.#askAgain(next);
	}

	#askAgain(zone: AvailabilityZone): void {
		for (const task of this.#tasks) {
			this.#nextTicket(task);
		}

		this.#askZone(zone);
	}

	#failLate(task: JobTask | undefined): void {
		if (task !== undefined && !this.#isConcluded) {
			this.#ended(task, {kind: 'notRun', cause: 'deadlineUnreachable', detail: 'the deadline has passed'});
		}
	}

	#ended(task: JobTask, verdict: Verdict<TaskAnswer>): void {
		task.verdict = verdict;
		const concluded = combineVerdicts(this.#tasks);
		if (concluded !== undefined) {
			this.#end(concluded);
		}
	}

	#cancel(): void {
		const started = this.#tasks.filter(task => task.hasStarted).length;
		this.#end(started === 0
			? {kind: 'notRun', cause: 'cancelled', detail: 'cancelled before any task was started'}
			: {kind: 'mayHaveRun', cause: 'stopped', detail: `cancelled after ${started} of ${this.#tasks.length} tasks were started`});
	}

	#end(verdict: Verdict<JobAnswer>): void {
		if (this.#isConcluded) {
			return;
		}

		this.#isConcluded = true;
		this.tools.slots.withdraw(this.#tasks.filter(task => task.verdict === undefined).map(task => task.ticket));
		for (const task of this.#tasks) {
			task.stop?.dispose();
		}

		this.#conclude?.(verdict);
	}

	#remaining(): number {
		return this.job.deadlineAt - this.tools.clock.now();
	}
}

function outcomeOf(verdict: Verdict<TaskAnswer>): Outcome {
	if (verdict.kind === 'answered') {
		return verdict.answer.kind;
	}

	if (verdict.kind === 'notRun') {
		return 'refused';
	}

	return verdict.cause === 'stopped' ? 'unused' : 'lost';
}
