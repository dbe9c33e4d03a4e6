/** Which tasks were lost with their targets, as far as any entry has told. */
import type {Clock} from '../../base/clock.js';
import {Emitter} from '../../base/emitter.js';
import type {Incarnation} from '../../base/incarnation.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {TaskId} from '../../base/task-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {TargetLoss} from './target-loss.js';

/** Crashes under a task after which it's given up: its own doing, since it had little company the second time. */
const crashesToGiveUp = 2;
/** Losses of any kind after which a task isn't started again until it's known what became of the targets. */
const lossesToSuspend = 2;
/** How long a loss counts of which it's not even known whether the task had begun: until its target is back. */
const unsureMilliseconds = 5000;
/** Longer than callers go on submitting a job again. */
const keptMilliseconds = 30_000;
/** A mass outage of the largest installation loses so many tasks at once. */
const keptTasks = 5000;

/**
 * - `sound`: never lost.
 * - `suspect`: lost with a target; it had better run with little beside it.
 * - `suspended`: lost so often that it isn't started again before it's known why.
 * - `hopeless`: it crashes its targets.
 */
type TaskCondition = 'sound' | 'suspect' | 'suspended' | 'hopeless';

type Loss = {readonly target: InstanceId; readonly incarnation: Incarnation | undefined; readonly at: number; kind: 'silent' | 'crash' | 'unsure'};
const lossKinds = {silent: 'silent', down: 'crash', unsure: 'unsure'} as const;
type LostTask = {readonly losses: Loss[]; lostAt: number};

/**
 * A task that crashes whatever starts it is begun again elsewhere each time, also by another entry when its caller submits it
 * again: one such job takes down a target after the other with all that runs there. So every loss is told to all entries, and a
 * task under which two targets have crashed isn't started any more. A task that was sent to a target that was down already isn't
 * to blame: only those count of which the target had said that they were started. That a silent target has crashed, and wasn't
 * only cut off, shows some seconds later, when it reports as another life.
 */
export class LossHistory {
	readonly #tasks = new Map<TaskId, LostTask>();
	readonly #recorded = new Emitter<TargetLoss>();
	readonly #blockedTask = new Emitter<TaskId>();
	/** When any task was lost last; monotonic. */
	#lostAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock, private readonly journal: Journal) {}

	/** Fires with what this entry has found out itself, for the others. */
	get onDidRecord() {
		return this.#recorded.event;
	}

	/** Fires when a task may not be started any more, or not for now. */
	get onDidBlockTask() {
		return this.#blockedTask.event;
	}

	/** Whether all tasks are sound: most of the time, and then nobody needs to ask for each. */
	get isEmpty(): boolean {
		return this.clock.now() - this.#lostAt > keptMilliseconds;
	}

	conditionOf(task: TaskId): TaskCondition {
		const lost = this.#tasks.get(task);
		const now = this.clock.now();
		const losses = lost?.losses.filter(({kind, at}) => now - at <= (kind === 'unsure' ? unsureMilliseconds : keptMilliseconds)) ?? [];
		if (losses.length === 0) {
			return 'sound';
		}

		if (losses.filter(({kind}) => kind === 'crash').length >= crashesToGiveUp) {
			return 'hopeless';
		}

		return losses.length >= lossesToSuspend ? 'suspended' : 'suspect';
	}

	/** Takes that a target of this entry was lost with some tasks. */
	record(loss: TargetLoss): void {
		if (loss.tasks.length > 0) {
			this.apply(loss);
			this.#recorded.fire(loss);
		}
	}

	/** A target of this entry answers, after it was silent or for the first time: it shows what became of it meanwhile. */
	recordAnswer(target: InstanceId, incarnation: Incarnation | undefined): void {
		const open = this.#openLossAt(target);
		if (open !== undefined) {
			// An owner that never heard of the target before it lost it can't tell one life from the next.
			const isNextLife = open.incarnation !== undefined && open.incarnation !== incarnation;
			const loss: TargetLoss = {
				target, incarnation, status: isNextLife ? 'down' : 'back', tasks: [],
			};
			this.apply(loss);
			this.#recorded.fire(loss);
		}
	}

	/** Takes what an entry has found out. */
	apply({target, incarnation, status, tasks}: TargetLoss): void {
		const changed = new Set<TaskId>(tasks);
		if (status === 'down' || status === 'back') {
			for (const [task, lost] of this.#tasks) {
				if (settle(lost, target, status)) {
					changed.add(task);
				}
			}
		}

		if (status !== 'back') {
			for (const task of tasks) {
				this.#lose(task, {
					target, incarnation, at: this.clock.now(), kind: lossKinds[status],
				});
			}
		}

		this.#tell(changed);
	}

	#tell(changed: ReadonlySet<TaskId>): void {
		for (const task of changed) {
			const condition = this.conditionOf(task);
			if (condition === 'hopeless' || condition === 'suspended') {
				this.journal.record('taskBarred', {task, condition, targets: this.#tasks.get(task)?.losses.map(loss => loss.target).join(' ')});
				this.#blockedTask.fire(task);
			}
		}
	}

	#lose(task: TaskId, loss: Loss): void {
		const lost = this.#tasks.get(task) ?? {losses: [], lostAt: 0};
		lost.losses.push(loss);
		lost.lostAt = this.clock.now();
		this.#lostAt = lost.lostAt;
		// Insertion order is age.
		this.#tasks.delete(task);
		this.#tasks.set(task, lost);
		this.#forgetOld();
	}

	#forgetOld(): void {
		const now = this.clock.now();
		for (const [task, {lostAt}] of this.#tasks) {
			if (this.#tasks.size <= keptTasks && now - lostAt <= keptMilliseconds) {
				return;
			}

			this.#tasks.delete(task);
		}
	}

	#openLossAt(target: InstanceId): Loss | undefined {
		for (const {losses} of this.#tasks.values()) {
			const open = losses.find(loss => loss.target === target && loss.kind !== 'crash');
			if (open !== undefined) {
				return open;
			}
		}

		return undefined;
	}
}

/** A silent target has shown what became of it; whether that says something of the task. */
function settle({losses}: LostTask, target: InstanceId, status: 'down' | 'back'): boolean {
	const open = losses.filter(loss => loss.target === target && loss.kind !== 'crash');
	for (const loss of open) {
		if (status === 'back') {
			losses.splice(losses.indexOf(loss), 1);
		} else if (loss.kind === 'silent') {
			loss.kind = 'crash';
		}
	}

	return open.length > 0;
}
