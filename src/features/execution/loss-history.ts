/** Tasks that were lost with their targets, as reported by all entries. */
import type {Clock} from '../../base/clock.js';
import {Emitter} from '../../base/emitter.js';
import type {Incarnation} from '../../base/incarnation.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {TargetLoss} from './target-loss.js';

/**
 * Number of targets that crashed under a task from which on it is given up. The second crash is attributed to the task, since it ran
 * apart from most other tasks then.
 */
const crashesUntilHopeless = 2;
/** Number of losses of any kind from which on a task isn't started until the targets' state is known. */
const lossesUntilSuspended = 2;
/** How long a loss counts if the task's start was never confirmed. */
const unconfirmedRetentionMilliseconds = 5000;
/** How long losses are kept; longer than callers resubmit a job. */
const retentionMilliseconds = 30_000;
/** Maximum number of lost tasks that are kept; covers an outage of the largest supported installation. */
const maxTasks = 5000;

/**
 * - `sound`: never lost.
 * - `suspect`: lost with a target; preferably started beside few other runs.
 * - `suspended`: lost repeatedly; not started until the cause is known.
 * - `hopeless`: crashes its targets; not started again.
 */
type TaskCondition = 'sound' | 'suspect' | 'suspended' | 'hopeless';

type Loss = {readonly target: InstanceId; readonly incarnation: Incarnation | undefined; readonly at: number; kind: 'silent' | 'crash' | 'unsure'};
const lossKindByStatus = {silent: 'silent', down: 'crash', unsure: 'unsure'} as const;
type LostTask = {readonly losses: Loss[]; lostAt: number};

/**
 * Prevents a task that crashes its target from being retried on one target after another. Losses are shared among all entries,
 * since a resubmitted job may reach another entry. Only crashes of targets that had confirmed the start of the task count
 * against it. Whether a silent target has crashed or was unreachable is known once it answers with its incarnation.
 */
export class LossHistory {
	readonly #tasks = new Map<TaskId, LostTask>();
	readonly #recorded = new Emitter<TargetLoss>();
	readonly #blockedTask = new Emitter<TaskId>();
	/** Time of the latest loss of any task; monotonic. */
	#lostAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock, private readonly journal: Journal) {}

	/** Fires with each report of this entry, to be sent to the others. */
	get onDidRecord() {
		return this.#recorded.event;
	}

	/** Fires when a task becomes suspended or hopeless. */
	get onDidBlockTask() {
		return this.#blockedTask.event;
	}

	/** Whether there are no recent losses, so that the condition of all tasks is `sound`. */
	get isEmpty(): boolean {
		return this.clock.now() - this.#lostAt > retentionMilliseconds;
	}

	conditionOf(task: TaskId): TaskCondition {
		const lost = this.#tasks.get(task);
		const now = this.clock.now();
		const losses = lost?.losses.filter(({kind, at}) => now - at <= (kind === 'unsure' ? unconfirmedRetentionMilliseconds : retentionMilliseconds)) ?? [];
		if (losses.length === 0) {
			return 'sound';
		}

		if (losses.filter(({kind}) => kind === 'crash').length >= crashesUntilHopeless) {
			return 'hopeless';
		}

		return losses.length >= lossesUntilSuspended ? 'suspended' : 'suspect';
	}

	/** Records the loss of one of this entry's targets. Ignored without tasks. */
	record(loss: TargetLoss): void {
		if (loss.tasks.length > 0) {
			this.apply(loss);
			this.#recorded.fire(loss);
		}
	}

	/** Records that one of this entry's targets answers, for the first time or again, which resolves its earlier losses. */
	recordAnswer(target: InstanceId, incarnation: Incarnation | undefined): void {
		const unresolved = this.#findUnresolvedLoss(target);
		if (unresolved !== undefined) {
			// Without the incarnation at the loss, a restart can't be detected.
			const hasRestarted = unresolved.incarnation !== undefined && unresolved.incarnation !== incarnation;
			const loss: TargetLoss = {
				target, incarnation, status: hasRestarted ? 'down' : 'back', tasks: [],
			};
			this.apply(loss);
			this.#recorded.fire(loss);
		}
	}

	/** Applies a report of this or another entry. */
	apply({target, incarnation, status, tasks}: TargetLoss): void {
		const changed = new Set<TaskId>(tasks);
		if (status === 'down' || status === 'back') {
			for (const [task, lost] of this.#tasks) {
				if (resolveLosses(lost, target, status)) {
					changed.add(task);
				}
			}
		}

		if (status !== 'back') {
			for (const task of tasks) {
				this.#addLoss(task, {
					target, incarnation, at: this.clock.now(), kind: lossKindByStatus[status],
				});
			}
		}

		this.#reportBlocked(changed);
	}

	#reportBlocked(changed: ReadonlySet<TaskId>): void {
		for (const task of changed) {
			const condition = this.conditionOf(task);
			if (condition === 'hopeless' || condition === 'suspended') {
				this.journal.record('taskBarred', {task, condition, targets: this.#tasks.get(task)?.losses.map(loss => loss.target).join(' ')});
				this.#blockedTask.fire(task);
			}
		}
	}

	#addLoss(task: TaskId, loss: Loss): void {
		const lost = this.#tasks.get(task) ?? {losses: [], lostAt: 0};
		lost.losses.push(loss);
		lost.lostAt = this.clock.now();
		this.#lostAt = lost.lostAt;
		// Keeps the map ordered by the time of the latest loss.
		this.#tasks.delete(task);
		this.#tasks.set(task, lost);
		this.#removeExpired();
	}

	#removeExpired(): void {
		const now = this.clock.now();
		for (const [task, {lostAt}] of this.#tasks) {
			if (this.#tasks.size <= maxTasks && now - lostAt <= retentionMilliseconds) {
				return;
			}

			this.#tasks.delete(task);
		}
	}

	#findUnresolvedLoss(target: InstanceId): Loss | undefined {
		for (const {losses} of this.#tasks.values()) {
			const unresolved = losses.find(loss => loss.target === target && loss.kind !== 'crash');
			if (unresolved !== undefined) {
				return unresolved;
			}
		}

		return undefined;
	}
}

/** Removes a task's unresolved losses with a target, or turns them into crashes; returns whether there were any. */
function resolveLosses({losses}: LostTask, target: InstanceId, status: 'down' | 'back'): boolean {
	const unresolved = losses.filter(loss => loss.target === target && loss.kind !== 'crash');
	for (const loss of unresolved) {
		if (status === 'back') {
			losses.splice(losses.indexOf(loss), 1);
		} else if (loss.kind === 'silent') {
			loss.kind = 'crash';
		}
	}

	return unresolved.length > 0;
}
