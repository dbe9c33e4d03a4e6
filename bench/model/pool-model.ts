/** Plays traffic against a pool of places in memory, a millisecond at a time. */
import type {JobId} from '../../src/base/job-id.js';
import type {MemberId} from '../../src/base/member-id.js';
import type {ProfileName} from '../../src/base/profile-name.js';
import {Resources} from '../../src/base/resources.js';
import type {ServiceName} from '../../src/base/service-name.js';
import {RunningJob} from '../../src/features/dispatch/running-job.js';
import type {TaskState} from '../../src/features/dispatch/task-state.js';
import type {ModelJob} from './model-job.js';
import type {ModelOutcome} from './model-outcome.js';
import type {ModelPolicy} from './model-policy.js';

/** The users' objective: this many times the longest task, and so much more. */
const stretch = 1.6;
const slackMilliseconds = 60;
const patienceMilliseconds = 2000;
/** As often as the daemon looks for jobs to give up. */
const checkMilliseconds = 20;
/** From an entry to another one's target and back with the report, beside the run itself. */
const travelMilliseconds = 4;

const place = 'place' as MemberId;

type Live = {readonly model: ModelJob; readonly running: RunningJob; nextTask: number};
type End = {readonly live: Live; readonly slot: TaskState};

/** One queue over all places: how a pool would do whose entries knew of each other at once. */
export class PoolModel {
	readonly outcomes: ModelOutcome[] = [];
	readonly #live = new Set<Live>();
	readonly #ends = new Map<number, End[]>();
	#free: number;

	constructor(private readonly slots: number, private readonly policy: ModelPolicy) {
		this.#free = slots;
	}

	/** Plays all jobs to their end. */
	play(traffic: readonly ModelJob[]): readonly ModelOutcome[] {
		let next = 0;
		for (let now = 0; next < traffic.length || this.#live.size > 0; now += 1) {
			this.#end(now);
			while (next < traffic.length && traffic[next]!.at <= now) {
				this.#arrive(traffic[next]!, now);
				next += 1;
			}

			if (now % checkMilliseconds === 0) {
				this.#giveUp(now);
			}

			this.#place(now);
		}

		return this.outcomes;
	}

	#arrive(model: ModelJob, now: number): void {
		const {kind, runMilliseconds} = model;
		const running = new RunningJob({
			id: String(this.outcomes.length + this.#live.size) as JobId,
			route: {
				queue: kind.name as ProfileName, host: '', pathPrefix: '', service: '' as ServiceName, priority: kind.priority, attempts: 3, stretch, slackMilliseconds,
			},
			payload: '',
			shape: {
				count: runMilliseconds.length, need: Resources.none, declaredMilliseconds: kind.taskMilliseconds, place: {
					label: undefined, nearLabel: undefined, farFactor: 1, maxTasksPerTarget: undefined,
				},
			},
			callerTimeoutMilliseconds: patienceMilliseconds,
		}, {receivedAt: now, settle: nobodyWaits}, kind.taskMilliseconds);
		const live: Live = {model, running, nextTask: 0};
		if (this.policy.refusesAtArrival(running, {slots: this.slots, waitingWorkMilliseconds: this.#waitingWork()})) {
			this.#conclude(live, 'refused', now);
		} else {
			this.#live.add(live);
		}
	}

	#waitingWork(): number {
		let work = 0;
		for (const {running} of this.#live) {
			work += running.waiting.length * running.expectedMilliseconds;
		}

		return work;
	}

	#place(now: number): void {
		if (this.#free === 0) {
			return;
		}

		const waiting = [...this.#live].filter(({running}) => running.waiting.length > 0);
		const ranked = waiting.map(live => ({live, rank: this.policy.rank(live.running, now)}));
		ranked.sort((left, right) => left.rank - right.rank);
		for (const {live} of ranked) {
			for (const slot of live.running.waiting) {
				if (this.#free === 0) {
					return;
				}

				this.#start(live, slot, now);
			}
		}
	}

	#start(live: Live, slot: TaskState, now: number): void {
		this.#free -= 1;
		slot.owner = place;
		live.running.possibleStarts += 1;
		const endsAt = now + Math.round(live.model.runMilliseconds[live.nextTask]! + travelMilliseconds);
		live.nextTask += 1;
		this.#ends.set(endsAt, [...this.#ends.get(endsAt) ?? [], {live, slot}]);
	}

	/** A task of a job that was given up meanwhile has been stopped: its place is free already. */
	#end(now: number): void {
		for (const {live, slot} of this.#ends.get(now) ?? []) {
			if (!this.#live.has(live)) {
				continue;
			}

			this.#free += 1;
			slot.owner = undefined;
			slot.isDone = true;
			if (live.running.isComplete) {
				this.#conclude(live, 'answered', now);
			}
		}

		this.#ends.delete(now);
	}

	#giveUp(now: number): void {
		for (const live of this.#live) {
			const {running} = live;
			if (running.waiting.length > 0 && now > this.policy.giveUpAt(running)) {
				this.#conclude(live, running.mayHaveRun ? 'givenUp' : 'refused', now);
			}
		}
	}

	#conclude(live: Live, kind: ModelOutcome['kind'], now: number): void {
		this.#free += live.running.tasks.filter(slot => slot.owner !== undefined).length;
		this.#live.delete(live);
		this.outcomes.push({
			job: live.model,
			kind,
			tookMilliseconds: now - live.running.receivedAt,
			objectiveMilliseconds: (stretch * Math.max(...live.model.runMilliseconds)) + slackMilliseconds,
		});
	}
}

function nobodyWaits(): void {
	// The model keeps its own outcomes.
}
