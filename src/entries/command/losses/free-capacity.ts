/** History of the free capacity of targets, reconstructed from logs. */
import type {LogLine} from '../log-line.js';

/** Must be longer than any caller waits. */
const retentionMilliseconds = 30_000;
/** Number of samples at which old ones are pruned. Pruning is done in batches because it copies the rest. */
const pruneThreshold = 4096;

type Target = {freeCpuMillis: number; isOpen: boolean};
type Sample = {readonly at: number; readonly maxFreeCpuMillis: number};
type Reservation = {readonly target: string; readonly cpuMillis: number; readonly at: number};

const closing = new Set(['targetSilent', 'targetEjected']);
const opening = new Set(['targetAnswers', 'targetBack']);
const removing = new Set(['sessionEnded', 'targetDropped', 'targetReleased']);

/**
 * Tracks the free capacity of each target from the log lines of its owners: `runStarted` lines contain the capacity before the
 * start. Targets without such a line, or that their owner has closed for new tasks, count as full.
 */
export class FreeCapacity {
	readonly #targets = new Map<string, Target>();
	readonly #reservations = new Map<string, Reservation>();
	#samples: Sample[] = [];

	add(line: LogLine): void {
		if (this.#update(line)) {
			const maxFreeCpuMillis = Math.max(0, ...[...this.#targets.values()].filter(({isOpen}) => isOpen).map(({freeCpuMillis}) => freeCpuMillis));
			this.#samples.push({at: line.at, maxFreeCpuMillis});
			this.#prune(line.at);
		}
	}

	/** The fraction of a time span, from 0 to 1, in which some target had at least the given free capacity. */
	fractionWithCapacity(from: number, to: number, cpuMillis: number): number {
		if (to <= from) {
			return 0;
		}

		let milliseconds = 0;
		for (const [index, {at, maxFreeCpuMillis}] of this.#samples.entries()) {
			const until = this.#samples[index + 1]?.at ?? to;
			if (maxFreeCpuMillis >= cpuMillis) {
				milliseconds += Math.max(0, Math.min(until, to) - Math.max(at, from));
			}
		}

		return milliseconds / (to - from);
	}

	/** Updates the targets and returns whether anything changed. */
	#update({event, at, fields}: LogLine): boolean {
		const id = String(fields.target);
		if (event === 'runStarted') {
			return this.#startRun(id, at, fields);
		}

		if (event === 'runEnded') {
			return this.#endRun(`${String(fields.task)}#${String(fields.attempt)}`);
		}

		if (removing.has(event)) {
			return this.#targets.delete(id);
		}

		const target = this.#targets.get(id);
		if (target === undefined || !(closing.has(event) || opening.has(event))) {
			return false;
		}

		target.isOpen = opening.has(event);
		return true;
	}

	#startRun(id: string, at: number, fields: LogLine['fields']): boolean {
		const {roomCpuMillis, cpuMillis} = fields;
		if (typeof roomCpuMillis !== 'number' || typeof cpuMillis !== 'number') {
			return false;
		}

		this.#targets.set(id, {freeCpuMillis: roomCpuMillis - cpuMillis, isOpen: true});
		this.#reservations.set(`${String(fields.task)}#${String(fields.attempt)}`, {target: id, cpuMillis, at});
		return true;
	}

	#endRun(run: string): boolean {
		const reservation = this.#reservations.get(run);
		this.#reservations.delete(run);
		const target = this.#targets.get(reservation?.target ?? '');
		if (reservation === undefined || target === undefined) {
			return false;
		}

		target.freeCpuMillis += reservation.cpuMillis;
		return true;
	}

	#prune(now: number): void {
		if (this.#samples.length < pruneThreshold) {
			return;
		}

		this.#samples = this.#samples.filter(({at}) => now - at < retentionMilliseconds);
		for (const [run, {at}] of this.#reservations) {
			if (now - at > retentionMilliseconds) {
				this.#reservations.delete(run);
			}
		}
	}
}
