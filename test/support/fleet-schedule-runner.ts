/** Executes a schedule against a simulated fleet that is too large for a full mesh. */
import type {FleetSchedule} from './fleet-schedule.js';
import {PausableCluster} from './pausable-cluster.js';

const zones = ['a', 'b', 'c'];
const resubmissionDelayMilliseconds = 1300;
/** How long callers wait beyond the timeout that they submit. */
const graceMilliseconds = 150;
const pollMilliseconds = 25;
const backgroundJobIntervalMilliseconds = 400;
/** After the start, entries expect frequent heartbeats of all peers for some seconds. */
const warmUpMilliseconds = 3000;
const settleMilliseconds = 12_000;

type Suspended = FleetSchedule['suspensions'][number]['entries'][number];
type Caller = FleetSchedule['callers'][number];

/** Runs a schedule with entries in three zones, under a steady load of background jobs. */
export class FleetScheduleRunner {
	readonly pausable: PausableCluster;
	readonly #names: readonly string[];
	readonly #targets: readonly string[];
	/** Entries whose suspension is long enough for their callers to resubmit. */
	readonly #longSuspended = new Set<string>();

	constructor(private readonly schedule: FleetSchedule) {
		const {entryCount, targetsInZone} = schedule;
		this.#names = Array.from({length: entryCount}, (_, index) => `${zones[index % zones.length]}-${Math.floor(index / zones.length)}`);
		this.#targets = zones.flatMap(zone => Array.from({length: targetsInZone}, (_, index) => `${zone}-target-${index}`));
		this.pausable = new PausableCluster(this.#names, targetsInZone);
	}

	/** The highest number of concurrent runs of one task. */
	get peakConcurrentRuns(): number {
		return this.pausable.cluster.orders.peakConcurrentRuns;
	}

	async run(): Promise<void> {
		const {cluster} = this.pausable;
		if (this.schedule.closesIdleConnections) {
			this.pausable.closeIdleConnections();
		}

		await (this.schedule.isListed ? cluster.startWithPeerList() : cluster.start());
		await cluster.advance(warmUpMilliseconds);
		this.#scheduleFaults();
		for (const [index, caller] of this.schedule.callers.entries()) {
			this.#schedule(caller.at, () => {
				this.#submit(caller, index, 0);
			});
		}

		this.#schedule(0, () => {
			this.#submitBackgroundJobs(0);
		});
		await cluster.advance(settleMilliseconds);
	}

	#scheduleFaults(): void {
		for (const {at, entries} of this.schedule.suspensions) {
			for (const suspended of entries) {
				this.#schedule(at + suspended.delayMilliseconds, () => {
					this.#suspend(suspended);
				});
			}
		}

		for (const {at, entries, milliseconds, durationMilliseconds} of this.schedule.clockSteps) {
			this.#scheduleSpan(at, durationMilliseconds, isBegin => {
				for (const name of new Set(entries.map(entry => this.#nameOf(entry)))) {
					this.pausable.clocks.get(name)!.advanceWallTime(isBegin ? milliseconds : -milliseconds);
				}
			});
		}

		for (const {at, entry, delayMilliseconds, durationMilliseconds} of this.schedule.slowdowns) {
			this.#scheduleSpan(at, durationMilliseconds, isBegin => {
				this.pausable.clocks.get(this.#nameOf(entry))!.slowDown(isBegin ? delayMilliseconds : 0);
			});
		}

		for (const {at, target, durationMilliseconds} of this.schedule.lostStops) {
			this.#scheduleSpan(at, durationMilliseconds, isBegin => {
				this.pausable.loseStops(this.#targets[target % this.#targets.length]!, isBegin);
			});
		}
	}

	#suspend({entry, durationMilliseconds, resume, isMasked, losesReplies}: Suspended): void {
		const name = this.#nameOf(entry);
		const clock = this.pausable.clocks.get(name)!;
		if (clock.isPaused) {
			return;
		}

		this.pausable.pause(name);
		if (durationMilliseconds >= resubmissionDelayMilliseconds) {
			this.#longSuspended.add(name);
		}

		this.#schedule(durationMilliseconds, () => {
			this.#longSuspended.delete(name);
			clock.advanceWallTime(isMasked ? -durationMilliseconds : 0);
			for (const target of losesReplies ? this.#targets : []) {
				clock.dropUnread(target);
			}

			this.pausable.resume(name, resume);
		});
	}

	/** Submits a job through every running entry at a fixed interval. */
	#submitBackgroundJobs(round: number): void {
		const {backgroundTasks: tasks} = this.schedule;
		const running = tasks === 0 ? [] : this.#names.filter(name => !this.pausable.clocks.get(name)!.isPaused);
		for (const [index, name] of running.entries()) {
			this.pausable.submit(name, `f${index.toString(16).padStart(7, '0')}${round.toString(16).padStart(8, '0')}`, {
				tasks, payload: '60', declaredMilliseconds: 60, timeoutMilliseconds: 1000,
			});
		}

		this.#schedule(backgroundJobIntervalMilliseconds, () => {
			this.#submitBackgroundJobs(round + 1);
		});
	}

	/** Submits a job and polls for its verdict; resubmits through the next entry after a loss or a timeout. */
	#submit(caller: Caller, index: number, attempt: number, firstSubmittedAt = this.pausable.cluster.clock.now()): void {
		const {clock} = this.pausable.cluster;
		const entry = caller.entries[attempt];
		const elapsed = caller.statesRemainingTime ? clock.now() - firstSubmittedAt : 0;
		const timeoutMilliseconds = caller.timeoutMilliseconds - elapsed;
		if (entry === undefined || timeoutMilliseconds <= 0) {
			return;
		}

		const name = this.#nameOf(entry);
		const {tasks, runMilliseconds} = caller;
		const submission = this.pausable.submit(name, (index + 1).toString(16).padStart(16, '0'), {
			tasks, payload: String(runMilliseconds), declaredMilliseconds: runMilliseconds, timeoutMilliseconds,
		});
		const deadline = clock.now() + Math.min(caller.disconnectTimes[attempt] ?? Number.POSITIVE_INFINITY, timeoutMilliseconds + graceMilliseconds);
		const poll = () => {
			const {isPaused} = this.pausable.clocks.get(name)!;
			const verdict = isPaused ? undefined : submission.submitted?.verdict;
			const isBroken = caller.breaksOnSuspension && isPaused;
			const isOver = verdict === undefined && (clock.now() >= deadline || isBroken);
			// A request that arrives during a suspension is read together with the disconnect; a short suspension loses none.
			const isUnseen = caller.isSilent && submission.submitted !== undefined && isPaused && this.#longSuspended.has(name);
			if (isOver && !isUnseen) {
				submission.disconnect();
			}

			if (verdict?.kind === 'mayHaveRun' || isOver) {
				this.#schedule(resubmissionDelayMilliseconds, () => {
					this.#submit(caller, index, attempt + 1, firstSubmittedAt);
				});
			} else if (verdict === undefined) {
				this.#schedule(pollMilliseconds, poll);
			}
		};

		poll();
	}

	/** Calls back with true at the beginning of a span and with false at its end. */
	#scheduleSpan(at: number, durationMilliseconds: number, change: (isBegin: boolean) => void): void {
		this.#schedule(at, () => {
			change(true);
		});
		this.#schedule(at + durationMilliseconds, () => {
			change(false);
		});
	}

	#nameOf(entry: number): string {
		return this.#names[entry % this.#names.length]!;
	}

	#schedule(milliseconds: number, action: () => void): void {
		this.pausable.cluster.clock.schedule(milliseconds, action);
	}
}
