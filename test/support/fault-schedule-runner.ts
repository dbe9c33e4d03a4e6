/** Executes a fault schedule against a simulated cluster. */
import type {InstanceId} from '../../src/base/instance-id.js';
import {PausableCluster} from './pausable-cluster.js';
import type {FaultSchedule} from './fault-schedule.js';

const names = ['a-1', 'a-2', 'b-1', 'b-2'];
const targetsInZone = 4;
const targets = ['a', 'b'].flatMap(zone => Array.from({length: targetsInZone}, (_, index) => `${zone}-target-${index}`));
const resubmissionDelayMilliseconds = 1300;
/** How long callers wait beyond the timeout that they submit. */
const graceMilliseconds = 150;
const pollMilliseconds = 25;
const backgroundJobIntervalMilliseconds = 400;
/** How long a peer waits on a silent connection before it redials. */
const silentLinkTimeoutMilliseconds = 500;
const redialIntervalMilliseconds = 100;
const settleMilliseconds = 6000;

/** Runs a fault schedule with four entries in two zones, under a steady load of background jobs. */
export class FaultScheduleRunner {
	readonly pausable = new PausableCluster(names, targetsInZone);
	readonly #killed = new Set<string>();

	constructor(private readonly schedule: FaultSchedule) {}

	/** The highest number of concurrent runs of one task. */
	get peakConcurrentRuns(): number {
		return this.pausable.cluster.orders.peakConcurrentRuns;
	}

	async run(): Promise<void> {
		const {cluster} = this.pausable;
		await cluster.start();
		for (const pause of this.schedule.pauses) {
			this.#schedule(pause.at, () => {
				this.#pause(pause);
			});
		}

		for (const {at, entry, other, redialDelay} of this.schedule.resets) {
			this.#schedule(at, () => {
				this.#reset(names[entry]!, names[other]!, redialDelay);
			});
		}

		for (const fault of this.schedule.targetFaults) {
			this.#schedule(fault.at, () => {
				this.#failTarget(fault);
			});
		}

		for (const {at, entry, kind} of this.schedule.departures) {
			this.#schedule(at, () => {
				this.#removeEntry(names[entry]!, kind);
			});
		}

		for (const [index, caller] of this.schedule.callers.entries()) {
			this.#schedule(caller.at, () => {
				this.#submit(caller, index, 0);
			});
		}

		this.#schedule(0, () => {
			this.#submitBackgroundJobs(0);
		});
		await cluster.advance(this.#totalMilliseconds);
	}

	/** Submits a job through every running entry at a fixed interval. */
	#submitBackgroundJobs(round: number): void {
		const running = names.filter(name => !this.#killed.has(name) && !this.pausable.clocks.get(name)!.isPaused);
		for (const [index, name] of running.entries()) {
			this.pausable.submit(name, `${index + 1}`.padEnd(8, '0') + round.toString(16).padStart(8, '0'), {
				tasks: 5, payload: '60', declaredMilliseconds: 60, timeoutMilliseconds: 1000,
			});
		}

		this.#schedule(backgroundJobIntervalMilliseconds, () => {
			this.#submitBackgroundJobs(round + 1);
		});
	}

	get #totalMilliseconds(): number {
		const ends = this.schedule.pauses.map(({at, durationMilliseconds}) => at + durationMilliseconds);
		return Math.max(...ends) + settleMilliseconds;
	}

	#schedule(milliseconds: number, action: () => void): void {
		this.pausable.cluster.clock.schedule(milliseconds, action);
	}

	#pause({entry, durationMilliseconds, resume, disconnection}: FaultSchedule['pauses'][number]): void {
		const name = names[entry]!;
		if (this.pausable.clocks.get(name)!.isPaused || this.#killed.has(name)) {
			return;
		}

		const peers = names.filter((peer, index) => peer !== name && Math.floor(disconnection.peers / (2 ** index)) % 2 === 1);
		this.pausable.pause(name);
		const breaksAt = Math.min(disconnection.delayMilliseconds, durationMilliseconds);
		this.#schedule(breaksAt, () => {
			for (const peer of peers) {
				this.#disconnect(name, peer, disconnection);
			}
		});
		this.#schedule(durationMilliseconds, () => {
			const {network} = this.pausable.cluster;
			for (const peer of peers) {
				network.blockedLinks.delete(`${name}#1>${peer}#1`);
				network.breakConnection(name, peer);
				this.#reconnect(name, peer, disconnection.ownRedialDelay);
				this.#reconnect(peer, name, disconnection.peersRedialDelay);
			}

			this.pausable.resume(name, resume);
		});
	}

	/** Breaks the connection from a peer to a paused entry. */
	#disconnect(name: string, peer: string, {kind, dropsUnread}: FaultSchedule['pauses'][number]['disconnection']): void {
		const {network} = this.pausable.cluster;
		if (dropsUnread) {
			this.pausable.dropUnread(name, peer);
		}

		if (kind === 'reset') {
			network.breakConnection(peer, name);
			return;
		}

		const link = `${peer}#1>${name}#1`;
		network.blockedLinks.add(link);
		this.#schedule(silentLinkTimeoutMilliseconds, () => {
			network.blockedLinks.delete(link);
			if (this.pausable.clocks.get(name)!.isPaused) {
				network.breakConnection(peer, name);
			}
		});
	}

	/** Restores a connection once both ends are running. */
	#reconnect(from: string, to: string, delayMilliseconds: number): void {
		this.#schedule(delayMilliseconds, () => {
			if (this.#killed.has(from) || this.#killed.has(to)) {
				return;
			}

			if ([from, to].some(name => this.pausable.clocks.get(name)!.isPaused)) {
				this.#reconnect(from, to, redialIntervalMilliseconds);
			} else {
				this.pausable.cluster.network.restoreConnection(from, to);
			}
		});
	}

	#reset(name: string, other: string, redialDelay: number): void {
		const areRunning = [name, other].every(entry => !this.#killed.has(entry) && !this.pausable.clocks.get(entry)!.isPaused);
		if (name !== other && areRunning) {
			this.pausable.cluster.network.breakConnection(name, other);
			this.#reconnect(name, other, redialDelay);
		}
	}

	#failTarget({target, durationMilliseconds, kind, startDelay}: FaultSchedule['targetFaults'][number]): void {
		const {orders} = this.pausable.cluster;
		const id = targets[target]! as InstanceId;
		if (kind === 'restarts') {
			orders.restart(id);
		} else if (kind === 'late') {
			this.pausable.setStartDelay(id, startDelay);
			this.#schedule(durationMilliseconds, () => {
				this.pausable.setStartDelay(id, undefined);
			});
		} else {
			orders.behaviour.set(id, kind);
			this.#schedule(durationMilliseconds, () => {
				orders.behaviour.delete(id);
			});
		}
	}

	#removeEntry(name: string, kind: FaultSchedule['departures'][number]['kind']): void {
		if (this.#killed.has(name) || this.pausable.clocks.get(name)!.isPaused) {
			return;
		}

		if (kind === 'kill') {
			this.#killed.add(name);
			this.pausable.kill(name);
		} else {
			void this.pausable.cluster.entries.get(name)!.leave();
		}
	}

	/** Submits a job and polls for its verdict; resubmits through the next entry after a loss or a timeout. */
	#submit(caller: FaultSchedule['callers'][number], index: number, attempt: number): void {
		const name = names[caller.entries[attempt] ?? -1];
		if (name === undefined) {
			return;
		}

		const resubmit = () => {
			this.#schedule(resubmissionDelayMilliseconds, () => {
				this.#submit(caller, index, attempt + 1);
			});
		};

		if (this.#killed.has(name)) {
			resubmit();
			return;
		}

		const submission = this.pausable.submit(name, (index + 1).toString(16).padStart(16, '0'), {
			tasks: caller.tasks, payload: String(caller.runMilliseconds), declaredMilliseconds: caller.runMilliseconds, timeoutMilliseconds: caller.timeoutMilliseconds,
		});
		const deadline = this.pausable.cluster.clock.now() + Math.min(caller.disconnectTimes[attempt] ?? Number.POSITIVE_INFINITY, caller.timeoutMilliseconds + graceMilliseconds);
		const poll = () => {
			const verdict = this.pausable.clocks.get(name)!.isPaused ? undefined : submission.submitted?.verdict;
			if (verdict?.kind === 'mayHaveRun' || this.#killed.has(name)) {
				resubmit();
			} else if (verdict === undefined && this.pausable.cluster.clock.now() >= deadline) {
				submission.disconnect();
				resubmit();
			} else if (verdict === undefined) {
				this.#schedule(pollMilliseconds, poll);
			}
		};

		poll();
	}
}
