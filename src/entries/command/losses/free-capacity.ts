/** How much room targets had, as logs show it. */
import type {LogLine} from '../log-line.js';

/** Longer than any caller waits. */
const keptMilliseconds = 30_000;
/** Steps are dropped in bulk, since each drop copies the rest. */
const dropAtOnce = 4096;

type Target = {room: number; isOpen: boolean};
type Step = {readonly at: number; readonly largest: number};
type Use = {readonly target: string; readonly cpuMillis: number; readonly at: number};

const closing = new Set(['targetSilent', 'targetEjected']);
const opening = new Set(['targetAnswers', 'targetBack']);
const removing = new Set(['sessionEnded', 'targetDropped', 'targetReleased']);

/**
 * Follows the room of each target from the lines of its owners: a start tells the room before it. A target of which no start
 * was seen has unknown room, and counts as full. What an owner held closed counts as full as well.
 */
export class FreeCapacity {
	readonly #targets = new Map<string, Target>();
	readonly #uses = new Map<string, Use>();
	#steps: Step[] = [];

	take(line: LogLine): void {
		if (this.#change(line)) {
			const largest = Math.max(0, ...[...this.#targets.values()].filter(({isOpen}) => isOpen).map(({room}) => room));
			this.#steps.push({at: line.at, largest});
			this.#forget(line.at);
		}
	}

	/** The part of a span in which some target had room for so much, 0 to 1. */
	shareWithRoom(from: number, to: number, cpuMillis: number): number {
		if (to <= from) {
			return 0;
		}

		let withRoom = 0;
		for (const [index, {at, largest}] of this.#steps.entries()) {
			const until = this.#steps[index + 1]?.at ?? to;
			if (largest >= cpuMillis) {
				withRoom += Math.max(0, Math.min(until, to) - Math.max(at, from));
			}
		}

		return withRoom / (to - from);
	}

	/** Whether the line changed anything. */
	#change({event, at, fields}: LogLine): boolean {
		const id = String(fields.target);
		if (event === 'runStarted') {
			return this.#start(id, at, fields);
		}

		if (event === 'runEnded') {
			return this.#end(`${String(fields.task)}#${String(fields.attempt)}`);
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

	#start(id: string, at: number, fields: LogLine['fields']): boolean {
		const {roomCpuMillis, cpuMillis} = fields;
		if (typeof roomCpuMillis !== 'number' || typeof cpuMillis !== 'number') {
			return false;
		}

		this.#targets.set(id, {room: roomCpuMillis - cpuMillis, isOpen: true});
		this.#uses.set(`${String(fields.task)}#${String(fields.attempt)}`, {target: id, cpuMillis, at});
		return true;
	}

	#end(run: string): boolean {
		const use = this.#uses.get(run);
		this.#uses.delete(run);
		const target = this.#targets.get(use?.target ?? '');
		if (use === undefined || target === undefined) {
			return false;
		}

		target.room += use.cpuMillis;
		return true;
	}

	#forget(now: number): void {
		if (this.#steps.length < dropAtOnce) {
			return;
		}

		this.#steps = this.#steps.filter(({at}) => now - at < keptMilliseconds);
		for (const [run, {at}] of this.#uses) {
			if (now - at > keptMilliseconds) {
				this.#uses.delete(run);
			}
		}
	}
}
