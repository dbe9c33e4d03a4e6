/** A fleet of entries that refuse jobs by forecast, without a network. */
import type {AvailabilityZone} from '../../../src/base/availability-zone.js';
import type {JobId} from '../../../src/base/job-id.js';
import type {MemberId} from '../../../src/base/member-id.js';
import type {ProfileName} from '../../../src/base/profile-name.js';
import {Random} from '../../../src/base/random.js';
import {Resources} from '../../../src/base/resources.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import type {Verdict} from '../../../src/base/verdict.js';
import {BacklogExchange} from '../../../src/features/backlog/backlog-exchange.js';
import {EndedTasks} from '../../../src/features/backlog/ended-tasks.js';
import {ownBacklog} from '../../../src/features/backlog/own-backlog.js';
import {WaitingWork} from '../../../src/features/backlog/waiting-work.js';
import type {BestEffortJob} from '../../../src/features/dispatch/best-effort-job.js';
import {FleetForecast} from '../../../src/features/dispatch/fleet-forecast.js';
import type {JobOutcome} from '../../../src/features/dispatch/job-outcome.js';
import {LeastLaxity} from '../../../src/features/dispatch/least-laxity.js';
import {RunningJob} from '../../../src/features/dispatch/running-job.js';
import type {TaskState} from '../../../src/features/dispatch/task-state.js';
import {RecordingJournal} from '../../support/recording-journal.js';
import {unconstrainedPlacement} from '../../support/unconstrained-placement.js';

const service = 'service' as ServiceName;
const stepMilliseconds = 5;
const entryCount = 8;
const zones = ['a', 'b'] as const;
const targetsPerEntry = 4;
const targetCpuMillis = 16_000;

/** Jobs of one kind; `patienceMilliseconds` is how long their callers wait. */
export type JobKind = {
	readonly name: string;
	readonly tasks: number;
	readonly milliseconds: number;
	readonly jobsPerSecond: number;
	readonly patienceMilliseconds?: number;
};

/** What became of the jobs of a kind. */
export type KindCounts = {inTime: number; late: number; forecast: number; expired: number; left: number};

type Run = {readonly job: RunningJob; readonly state: TaskState; readonly target: Target; readonly endsAt: number};
type Target = {freeCpuMillis: number; readonly entry: Entry};
type Entry = {
	readonly id: MemberId;
	readonly zone: AvailabilityZone;
	readonly exchange: BacklogExchange;
	readonly waiting: WaitingWork;
	readonly ended: EndedTasks;
	readonly forecast: FleetForecast;
	readonly targets: Target[];
	readonly jobs: Set<RunningJob>;
};

/** Places tasks in the queue order over all entries, on any free target, at steps of 5 ms. */
export class ForecastSimulation {
	readonly journal = new RecordingJournal();
	readonly counts = new Map<string, KindCounts>();
	/** Refusals while some target had room for a task of the job. */
	refusalsBesideFreeTargets = 0;
	/** Between entries of different zones nothing is exchanged while this is set. */
	isCut = false;
	/** Targets that take no tasks, as in an outage. */
	outageShare = 0;
	readonly #entries: readonly Entry[];
	readonly #order = new LeastLaxity();
	readonly #random: Random;
	/** The actual run time of each task, relative to the expected one. */
	readonly #runTimeFactors = new WeakMap<TaskState, number>();
	readonly #runs = new Set<Run>();
	#now = 1_000_000;
	#jobs = 0;

	constructor(seed: number, private readonly isForecastEnabled: boolean) {
		this.#random = new Random(seed);
		this.#entries = Array.from({length: entryCount}, (_, index) => this.#createEntry(index));
	}

	get refutedRefusals(): number {
		return this.#entries.reduce((sum, {forecast}) => sum + forecast.calibration.refutedRefusals, 0);
	}

	get unservedJobs(): number {
		return this.#entries.reduce((sum, {forecast}) => sum + forecast.calibration.unservedJobs, 0);
	}

	/** The sum over all kinds. */
	get total(): KindCounts {
		const total = createCounts();
		for (const counts of this.counts.values()) {
			for (const outcome of Object.keys(total) as Array<keyof KindCounts>) {
				total[outcome] += counts[outcome];
			}
		}

		return total;
	}

	/** Services with waiting work in the published figures of any entry. */
	get backlogs(): number {
		return this.#entries.flatMap(({exchange}) => exchange.view(this.#now)).flatMap(({services}) => services).filter(({queues}) => queues.length > 0).length;
	}

	/** Runs with jobs of these kinds, which arrive at random entries. */
	run(milliseconds: number, kinds: readonly JobKind[]): void {
		for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
			this.#now += stepMilliseconds;
			this.#endRuns();
			this.#endJobs();
			this.#place();
			for (const kind of kinds) {
				const arrivals = kind.jobsPerSecond * stepMilliseconds / 1000;
				for (let left = arrivals; this.#random.fraction() < left; left -= 1) {
					this.#submit(kind);
				}
			}

			this.#exchange();
		}
	}

	#createEntry(index: number): Entry {
		const id = `entry-${index}` as MemberId;
		const zone = zones[index % zones.length]! as string as AvailabilityZone;
		const waiting = new WaitingWork();
		const ended = new EndedTasks();
		const exchange = new BacklogExchange({
			zone, isFresh: () => true, own: now => ownBacklog([{
				service,
				totalCpuMillis: this.#openTargets(entry).length * targetCpuMillis,
				freeCpuMillis: this.#openTargets(entry).reduce((sum, target) => sum + target.freeCpuMillis, 0),
				largestFreeCpuMillis: Math.max(0, ...this.#openTargets(entry).map(target => target.freeCpuMillis)),
				endedTasks: ended.perSecond(service, now),
			}], waiting, now),
		});
		const forecast = new FleetForecast({
			view: now => exchange.view(now), freePlaces: job => this.#freePlaces(job), waiting, random: new Random(index), journal: this.journal,
		});
		const entry: Entry = {
			id, zone, exchange, waiting, ended, forecast, targets: [], jobs: new Set(),
		};
		entry.targets.push(...Array.from({length: targetsPerEntry}, () => ({freeCpuMillis: targetCpuMillis, entry})));
		return entry;
	}

	#openTargets({targets}: Entry): readonly Target[] {
		return targets.slice(Math.round(targets.length * this.outageShare));
	}

	#freePlaces({shape: {need, count}}: BestEffortJob): number {
		const places = this.#entries.flatMap(entry => this.#openTargets(entry)).reduce((sum, {freeCpuMillis}) => sum + Math.floor(freeCpuMillis / need.cpuMillis), 0);
		return Math.min(count, places);
	}

	#submit(kind: JobKind): void {
		const entry = this.#entries[this.#random.below(entryCount)]!;
		const job = this.#createJob(kind, entry);
		const refusal = this.isForecastEnabled ? entry.forecast.refusalOf(job, this.#now) : undefined;
		if (refusal !== undefined) {
			this.refusalsBesideFreeTargets += this.#freePlaces(job.job) > 0 ? 1 : 0;
			this.#end(entry, job, refusal);
			this.#countsOf(kind.name).forecast += 1;
			return;
		}

		entry.jobs.add(job);
		entry.forecast.recordWaiting(job);
		this.#place();
	}

	#createJob({name, tasks, milliseconds, patienceMilliseconds}: JobKind, entry: Entry): RunningJob {
		this.#jobs += 1;
		const declared = milliseconds * (0.9 + (0.2 * this.#random.fraction()));
		const job = new RunningJob({
			id: `${name}-${this.#jobs}` as JobId,
			route: {
				queue: name as ProfileName, host: '', pathPrefix: '', service, priority: 0, attempts: 3, stretch: 1.6, slackMilliseconds: 60,
			},
			payload: '',
			shape: {
				count: tasks, need: new Resources(6500 + this.#random.below(3000), 64, 0), declaredMilliseconds: declared, place: unconstrainedPlacement,
			},
			callerTimeoutMilliseconds: patienceMilliseconds ?? 5 * ((1.6 * milliseconds) + 60),
		}, {
			receivedAt: this.#now,
			settle() {
				// The outcome is counted by its cause.
			},
		}, declared);
		// Drawn here, so that two simulations with the same seed get the same jobs.
		for (const state of job.tasks) {
			this.#runTimeFactors.set(state, 0.9 + (0.2 * this.#random.fraction()));
		}

		return job;
	}

	#countsOf(name: string): KindCounts {
		const counts = this.counts.get(name) ?? createCounts();
		this.counts.set(name, counts);
		return counts;
	}

	#endRuns(): void {
		for (const run of this.#runs) {
			const {job, state, target} = run;
			if (run.endsAt > this.#now && !job.isEnded) {
				continue;
			}

			this.#runs.delete(run);
			target.freeCpuMillis += job.job.shape.need.cpuMillis;
			target.entry.ended.record(service, this.#now);
			state.isDone = true;
		}
	}

	#endJobs(): void {
		for (const entry of this.#entries) {
			for (const job of entry.jobs) {
				const counts = this.#countsOf(job.job.route.queue);
				if (job.isComplete) {
					counts[this.#now <= job.objectiveAt ? 'inTime' : 'late'] += 1;
					this.#end(entry, job, {kind: 'answered', answer: 'complete'});
				} else if (this.#now >= job.receivedAt + job.job.callerTimeoutMilliseconds) {
					counts.left += 1;
					this.#end(entry, job, {kind: 'mayHaveRun', cause: 'stopped', detail: ''});
				} else if (this.#now > job.expiresAt) {
					counts.expired += 1;
					this.#end(entry, job, job.mayHaveRun ? {kind: 'mayHaveRun', cause: 'waitExpired', detail: ''} : {kind: 'notRun', cause: 'deadlineUnreachable', detail: ''});
				}
			}

			entry.forecast.recordFreeCapacity(this.#now);
		}
	}

	#end(entry: Entry, job: RunningJob, verdict: Verdict<JobOutcome>): void {
		job.isEnded = true;
		entry.jobs.delete(job);
		entry.forecast.recordEnd(job, verdict);
	}

	#place(): void {
		const waiting = this.#entries.flatMap(entry => [...entry.jobs].filter(job => job.hasWaiting).map(job => ({entry, job, rank: this.#order.rank(job, this.#now)})));
		const targets = this.#entries.flatMap(entry => this.#openTargets(entry));
		for (const {entry, job} of waiting.toSorted((left, right) => left.rank - right.rank)) {
			for (const state of job.waiting) {
				const {cpuMillis} = job.job.shape.need;
				const target = targets.filter(({freeCpuMillis}) => freeCpuMillis >= cpuMillis).toSorted((left, right) => left.freeCpuMillis - right.freeCpuMillis)[0];
				if (target === undefined) {
					break;
				}

				target.freeCpuMillis -= cpuMillis;
				job.possibleStarts += 1;
				state.owner = target.entry.id;
				this.#runs.add({
					job, state, target, endsAt: this.#now + (job.expectedMilliseconds * this.#runTimeFactors.get(state)!),
				});
				entry.forecast.recordStart(job, this.#now);
			}
		}
	}

	#exchange(): void {
		for (const sender of this.#entries) {
			for (const receiver of this.#entries) {
				const report = sender === receiver || (this.isCut && sender.zone !== receiver.zone) ? undefined : sender.exchange.reportFor(receiver, this.#now);
				if (report !== undefined) {
					receiver.exchange.receive(sender, report, this.#now);
				}
			}
		}
	}
}

function createCounts(): KindCounts {
	return {
		inTime: 0, late: 0, forecast: 0, expired: 0, left: 0,
	};
}
