/** How late this entry reads its input. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';

/** The same as that of the other periodic timers, with which it shares wake-ups. */
const periodMilliseconds = 100;
/** Number of the latest timers of which the longest delay counts, since the delays of a busy event loop vary. */
const sampleCount = 5;
/** Smaller delays are usual on an idle machine. */
const negligibleMilliseconds = 10;

/**
 * Estimates how late this entry reads its input by how late its timers fire. A caller may have disconnected that long ago without this
 * entry knowing it.
 */
export class ReadingDelay implements Disposable {
	readonly #samples: number[] = [];
	#skipped: {readonly milliseconds: number; readonly at: number} | undefined;
	#dueAt = Number.POSITIVE_INFINITY;
	#timer: Disposable | undefined;

	constructor(private readonly clock: Clock) {}

	/** The longest of the latest delays; includes a timer that is overdue, because messages may be read before it fires. */
	get milliseconds(): number {
		const longest = Math.max(0, this.clock.now() - this.#dueAt, ...this.#samples);
		return longest < negligibleMilliseconds ? 0 : Math.round(longest);
	}

	/** How long ago input may have arrived that this entry reads now: includes a suspension that it has just resumed from. */
	get unreadMilliseconds(): number {
		return Math.max(this.milliseconds, this.skippedMilliseconds);
	}

	/** Time that the clock didn't count just now, which may have been a suspension; 0 after a few periods. */
	get skippedMilliseconds(): number {
		const {milliseconds, at} = this.#skipped ?? {milliseconds: 0, at: 0};
		return this.clock.now() - at > sampleCount * periodMilliseconds ? 0 : Math.round(milliseconds);
	}

	recordSkippedTime(milliseconds: number): void {
		this.#skipped = {milliseconds: milliseconds + this.skippedMilliseconds, at: this.clock.now()};
	}

	start(): void {
		const now = this.clock.now();
		this.#dueAt = (Math.floor((now / periodMilliseconds) + 0.5) + 1) * periodMilliseconds;
		this.#timer = this.clock.schedule(this.#dueAt - now, () => {
			this.#samples.push(this.clock.now() - this.#dueAt);
			this.#samples.splice(0, this.#samples.length - sampleCount);
			this.start();
		});
	}

	dispose(): void {
		this.#timer?.dispose();
	}
}
