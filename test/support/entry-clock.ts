/** The time of one entry of several, which may stand still. */
import {Clock} from '../../src/base/clock.js';
import type {Disposable} from '../../src/base/disposable.js';
import type {ResumeOptions} from './resume-options.js';

/** Between the timers and what is read, in either order: promises settle meanwhile, since `passTime` steps by as much. */
const roundMilliseconds = 5;

/** Above the length of any chain of promises here. */
const settlingTurns = 20;

type Timer = {readonly at: number; readonly order: number; readonly callback: () => void; handle: Disposable | undefined};

/**
 * Passes as the world's clock does until its entry stands still. Timers are held back from then on, and so is what the entry
 * receives; as it goes on it finds all of it at once.
 */
export class EntryClock extends Clock {
	readonly #timers = new Set<Timer>();
	/** What waits in each of the entry's sockets, in order. */
	readonly #sockets = new Map<string, Array<() => void>>();
	/** What was put off while the entry goes on after a pause: until all that came has been read, as an event loop does. */
	readonly #deferred: Array<() => void> = [];
	#isWaking = false;
	#order = 0;
	#uncounted = 0;
	#stoppedAt: number | undefined;

	constructor(private readonly world: Clock) {
		super();
	}

	get isPaused(): boolean {
		return this.#stoppedAt !== undefined;
	}

	/** When it stood still, by the world's clock; nothing while it runs. */
	get pausedAt(): number | undefined {
		return this.#stoppedAt;
	}

	override now(): number {
		return (this.#stoppedAt ?? this.world.now()) - this.#uncounted;
	}

	override wallTime(): number {
		return this.world.wallTime();
	}

	override defer(callback: () => void): void {
		if (this.#isWaking) {
			this.#deferred.push(callback);
		} else {
			super.defer(callback);
		}
	}

	override schedule(delayMilliseconds: number, callback: () => void): Disposable {
		this.#order += 1;
		const timer: Timer = {
			at: this.now() + delayMilliseconds, order: this.#order, callback, handle: undefined,
		};
		this.#timers.add(timer);
		if (!this.isPaused) {
			this.#arm(timer, delayMilliseconds);
		}

		return {
			dispose: () => {
				this.#timers.delete(timer);
				timer.handle?.dispose();
			},
		};
	}

	/** Has the entry read something, once it runs and has read what came on that socket before. */
	receive(socket: string, read: () => void): void {
		const unread = this.#sockets.get(socket);
		if (unread !== undefined) {
			unread.push(read);
		} else if (this.isPaused) {
			this.#sockets.set(socket, [read]);
		} else {
			read();
		}
	}

	/** What came on a socket and wasn't read is lost. */
	dropUnread(socket: string): void {
		this.#sockets.delete(socket);
	}

	/** The entry stands still from now on. */
	pause(): void {
		this.#stoppedAt = this.world.now();
		this.#isWaking = false;
		for (const {handle} of this.#timers) {
			handle?.dispose();
		}
	}

	resume({first, countsPause, socketOrder}: ResumeOptions): void {
		const stoppedAt = this.#stoppedAt ?? this.world.now();
		this.#stoppedAt = undefined;
		this.#isWaking = true;
		this.#uncounted += countsPause ? 0 : this.world.now() - stoppedAt;
		const now = this.now();
		const timers = [...this.#timers].sort((left, right) => left.at - right.at || left.order - right.order);
		for (const timer of timers) {
			this.#arm(timer, Math.max(first === 'network' ? roundMilliseconds : 0, timer.at - now));
		}

		this.world.schedule(first === 'network' ? 0 : roundMilliseconds, () => {
			void this.#wake(socketOrder);
		});
	}

	#arm(timer: Timer, delayMilliseconds: number): void {
		timer.handle = this.world.schedule(delayMilliseconds, () => {
			this.#timers.delete(timer);
			timer.callback();
		});
	}

	async #wake(socketOrder: number): Promise<void> {
		await this.#readAll(socketOrder);
		this.#isWaking = false;
		for (const callback of this.#deferred.splice(0)) {
			this.defer(callback);
		}
	}

	/** Sockets are read one after the other, in any order; promises settle after each callback. */
	async #readAll(socketOrder: number): Promise<void> {
		const sockets = [...this.#sockets.keys()].sort();
		for (let left = sockets.length; left > 0 && !this.isPaused; left -= 1) {
			const [socket] = sockets.splice(socketOrder % left, 1);
			const unread = this.#sockets.get(socket!) ?? [];
			while (unread.length > 0 && !this.isPaused) {
				unread.shift()!();
				await settle();
			}

			if (unread.length === 0) {
				this.#sockets.delete(socket!);
			}
		}
	}
}

/** Lets what a callback has resolved go on, without an end of the world's step. */
async function settle(): Promise<void> {
	for (let left = settlingTurns; left > 0; left -= 1) {
		await Promise.resolve();
	}
}
