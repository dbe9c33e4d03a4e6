/** Execution of one job. */
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
import type {JobDependencies} from './job-dependencies.js';
import type {JobTask} from './job-task.js';

const priorityFactors = {urgent: 4, normal: 1, background: 0.25};
/** Refusal causes that may not apply in another zone. */
const zoneSpecificCauses: ReadonlySet<JobRefusal['cause']> = new Set(['noTarget', 'deadlineUnreachable', 'queueFull', 'neverPlaceable']);

type Outcome = Extract<PlacementRequest, {kind: 'release'}>['outcome'];
type SlotRequest = Extract<PlacementRequest, {kind: 'want'}>;

/**
 * Requests slots, starts each task when its slot is granted, and resolves the verdict once; the remaining tasks are then
 * withdrawn or stopped. A task is retried only if the target proved that it did not run.
 */
export class RunningJob {
	readonly #tasks: readonly JobTask[];
	readonly #tasksByTicket = new Map<TicketId, JobTask>();
	readonly #triedZones = new Set<AvailabilityZone>();
	#zone: AvailabilityZone;
	#variantLabel: string | undefined;
	#isConcluded = false;
	#resolve: ((verdict: Verdict<JobAnswer>) => void) | undefined;

	constructor(private readonly job: Job, private readonly dependencies: JobDependencies) {
		this.#tasks = job.tasks.map((specification, index) => {
			const id = `${job.id}/${index}` as TaskId;
			return {
				index, id, specification, attempt: 0, ticket: `${id}:0` as TicketId, hasStarted: false, excluded: [], stop: undefined, verdict: undefined,
			};
		});
		this.#variantLabel = dependencies.guard.labelFor(job.revision, job.id);
		this.#zone = dependencies.zones.next(this.#triedZones)!;
	}

	async run(token: CancellationToken): Promise<Verdict<JobAnswer>> {
		const verdict = new Promise<Verdict<JobAnswer>>(resolve => {
			this.#resolve = resolve;
		});
		const registration = token.onDidRequestCancellation(() => {
			this.#cancel();
		});
		this.#requestFromZone(this.#zone);
		const concluded = await verdict;
		registration.dispose();
		return concluded;
	}

	#requestFromZone(zone: AvailabilityZone): void {
		this.#zone = zone;
		this.#triedZones.add(zone);
		this.#requestSlots(this.#tasks, false);
	}

	#requestSlots(tasks: readonly JobTask[], isAdmitted: boolean): void {
		for (const task of tasks) {
			this.#tasksByTicket.set(task.ticket, task);
		}

		this.dependencies.slots.requestSlots(this.#zone, this.#slotRequestOf(tasks, isAdmitted), this.job.deadlineAt, {
			onDidGrant: slot => {
				this.#handleGrant(slot);
			},
			onDidRefuse: (ticket, refusal) => {
				this.#handleRefusal(ticket, refusal);
			},
		});
	}

	#slotRequestOf(tasks: readonly JobTask[], isAdmitted: boolean): SlotRequest {
		const {profile} = this.job.revision;
		return {
			kind: 'want',
			job: this.job.id,
			profile: profile.name,
			weight: profile.weight * priorityFactors[profile.priority],
			limits: profile.limits,
			remainingMilliseconds: this.#remainingMilliseconds(),
			limitMilliseconds: profile.taskLimitMilliseconds,
			isAdmitted,
			tasks: tasks.map(task => this.#taskRequestOf(task)),
		};
	}

	#taskRequestOf(task: JobTask): SlotRequest['tasks'][number] {
		const {profile} = this.job.revision;
		const {specification} = task;
		const excludedLabel = profile.variant?.label;
		const isVariant = this.#variantLabel !== undefined;
		return {
			ticket: task.ticket,
			memoryMegabytes: specification.memoryMegabytes ?? profile.sizes.memoryMegabytes,
			accelerators: specification.accelerators ?? profile.sizes.accelerators,
			labels: this.#variantLabel === undefined ? profile.labels : [...profile.labels, this.#variantLabel],
			avoided: excludedLabel === undefined || isVariant ? [] : [excludedLabel],
			excluded: task.excluded,
			declaredMilliseconds: specification.declaredMilliseconds,
		};
	}

	#handleGrant({ticket, target}: GrantedSlot): void {
		const task = this.#tasksByTicket.get(ticket);
		// Checks the deadline again, since the process may have been paused after the request.
		if (task === undefined || this.#isConcluded || this.#remainingMilliseconds() <= 0) {
			this.dependencies.slots.release(ticket, 'unused', 0);
			this.#failExpired(task);
			return;
		}

		void this.#start(task, target);
	}

	async #start(task: JobTask, target: GrantedSlot['target']): Promise<void> {
		const {dependencies, job} = this;
		const source = new CancellationSource();
		const wasStarted = task.hasStarted;
		task.hasStarted = true;
		task.stop = {
			dispose() {
				source.cancel();
			},
		};
		dependencies.budget.recordStart();
		dependencies.journal.record('taskStarted', {
			task: task.id, target: target.id, attempt: task.attempt, profile: job.revision.profile.name, variant: this.#variantLabel,
		});
		const startedAt = dependencies.clock.now();
		const verdict = await dependencies.driver.run(target, {
			taskId: task.id,
			profile: job.revision.profile.name,
			payload: task.specification.payload,
			limitMilliseconds: Math.min(job.revision.profile.taskLimitMilliseconds, this.#remainingMilliseconds()),
		}, source.token);
		task.stop = undefined;
		const elapsed = dependencies.clock.now() - startedAt;
		dependencies.slots.release(task.ticket, outcomeOf(verdict), elapsed);
		dependencies.journal.record('taskEnded', {
			task: task.id, target: target.id, verdict: verdict.kind, milliseconds: Math.round(elapsed),
		});
		dependencies.metrics.timing('task', elapsed, {verdict: verdict.kind});
		if (verdict.kind === 'notRun') {
			task.hasStarted = wasStarted;
			this.#retry(task, target, verdict);
			return;
		}

		dependencies.guard.recordTask(job.revision, this.#variantLabel !== undefined, verdict.kind === 'answered' && verdict.answer.kind === 'result', elapsed);
		this.#finishTask(task, verdict);
	}

	/** Retries a refused task with a new ticket, or ends it if no retry is allowed. */
	#retry(task: JobTask, target: GrantedSlot['target'], verdict: Extract<Verdict<TaskAnswer>, {kind: 'notRun'}>): void {
		const {dependencies, job} = this;
		if (this.#isConcluded || task.attempt >= job.revision.profile.retries || this.#remainingMilliseconds() <= 0 || !dependencies.budget.tryTake()) {
			this.#finishTask(task, verdict);
			return;
		}

		task.excluded.push(target.id);
		this.#fallBackToBase();
		this.#nextTicket(task);
		dependencies.journal.record('taskRetried', {task: task.id, attempt: task.attempt, refusedBy: target.id});
		this.#requestSlots([task], true);
	}

	#nextTicket(task: JobTask): void {
		this.#tasksByTicket.delete(task.ticket);
		task.attempt += 1;
		task.ticket = `${task.id}:${task.attempt}` as TicketId;
	}

	/** Falls back to the base targets if the variant refused; returns whether the job used the variant. */
	#fallBackToBase(): boolean {
		const wasVariant = this.#variantLabel !== undefined;
		this.#variantLabel = undefined;
		return wasVariant;
	}

	#handleRefusal(ticket: TicketId, refusal: JobRefusal): void {
		const task = this.#tasksByTicket.get(ticket);
		if (task === undefined || this.#isConcluded || task.verdict !== undefined) {
			return;
		}

		if (this.#tasks.some(other => other.hasStarted)) {
			this.#finishTask(task, {...refusal, kind: 'notRun'});
			return;
		}

		this.#handleJobRefusal(task, refusal);
	}

	/** Moves a job without started tasks to the base targets or to another zone. */
	#handleJobRefusal(task: JobTask, refusal: JobRefusal): void {
		this.dependencies.slots.withdraw(this.#tasks.map(other => other.ticket));
		if (zoneSpecificCauses.has(refusal.cause) && this.#fallBackToBase()) {
			this.#requestAgain(this.#zone);
			return;
		}

		this.dependencies.zones.recordRefusal(this.#zone);
		const next = zoneSpecificCauses.has(refusal.cause) ? this.dependencies.zones.next(this.#triedZones) : undefined;
		if (next === undefined) {
			this.#finishTask(task, {...refusal, kind: 'notRun'});
			return;
		}

		this.dependencies.journal.record('jobSpilled', {
			job: this.job.id, from: this.#zone, to: next, cause: refusal.cause,
		});
		this.#requestAgain(next);
	}

	#requestAgain(zone: AvailabilityZone): void {
		for (const task of this.#tasks) {
			this.#nextTicket(task);
		}

		this.#requestFromZone(zone);
	}

	#failExpired(task: JobTask | undefined): void {
		if (task !== undefined && !this.#isConcluded) {
			this.#finishTask(task, {kind: 'notRun', cause: 'deadlineUnreachable', detail: 'the deadline has passed'});
		}
	}

	#finishTask(task: JobTask, verdict: Verdict<TaskAnswer>): void {
		task.verdict = verdict;
		const concluded = combineVerdicts(this.#tasks);
		if (concluded !== undefined) {
			this.#finishJob(concluded);
		}
	}

	#cancel(): void {
		const started = this.#tasks.filter(task => task.hasStarted).length;
		this.#finishJob(started === 0
			? {kind: 'notRun', cause: 'cancelled', detail: 'cancelled before any task was started'}
			: {kind: 'mayHaveRun', cause: 'stopped', detail: `cancelled after ${started} of ${this.#tasks.length} tasks were started`});
	}

	#finishJob(verdict: Verdict<JobAnswer>): void {
		if (this.#isConcluded) {
			return;
		}

		this.#isConcluded = true;
		this.dependencies.slots.withdraw(this.#tasks.filter(task => task.verdict === undefined).map(task => task.ticket));
		for (const task of this.#tasks) {
			task.stop?.dispose();
		}

		this.#resolve?.(verdict);
	}

	#remainingMilliseconds(): number {
		return this.job.deadlineAt - this.dependencies.clock.now();
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
