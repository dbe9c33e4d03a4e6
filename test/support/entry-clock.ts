/** The clock and sockets of an entry that can be paused. */
import {Clock} from '../../src/base/clock.js';
import type {Disposable} from '../../src/base/disposable.js';
import type {ResumeOptions} from './resume-options.js';

/** Delay between timers and socket reads on resume. Equals the step of `advanceClock`, so that promises settle in between. */
const stepMilliseconds = 5;

/** An upper bound on the length of promise chains in these tests. */
const maximumPromiseDepth = 20;

type Timer = {readonly at: number; readonly sequence: number; readonly callback: () => void; handle: Disposable | undefined};

/** Follows the cluster's clock. While paused, it holds back timers and incoming messages, and delivers them on resume. */
export class EntryClock extends Clock {
	readonly #timers = new Set<Timer>();
	/** Unread messages by socket, in order of arrival. */
	readonly #sockets = new Map<string, Array<() => void>>();
	/** Callbacks deferred during a resume; they run once all sockets have been read, as in an event loop. */
	readonly #deferred: Array<() => void> = [];
	/** When the latest delayed message of each socket is read, by the cluster's clock; later ones aren't read before it. */
	readonly #readsAt = new Map<string, number>();
	#delayMilliseconds = 0;
	#wallOffset = 0;
	#isResuming = false;
	#sequence = 0;
	#suspendedMilliseconds = 0;
	#pausedAt: number | undefined;

	constructor(private readonly clusterClock: Clock) {
		super();
	}

	get isPaused(): boolean {
		return this.#pausedAt !== undefined;
	}

	/** When the pause began, by the cluster's clock; undefined while the entry runs. */
	get pausedAt(): number | undefined {
		return this.#pausedAt;
	}

	override now(): number {
		return (this.#pausedAt ?? this.clusterClock.now()) - this.#suspendedMilliseconds;
	}

	override wallTime(): number {
		return this.clusterClock.wallTime() + this.#wallOffset;
	}

	/** Steps the entry's time of day; its monotonic clock doesn't change. */
	advanceWallTime(milliseconds: number): void {
		this.#wallOffset += milliseconds;
	}

	/** Delays all further timers and messages, as on a machine with too little processor time; 0 restores normal speed. */
	slowDown(delayMilliseconds: number): void {
		this.#delayMilliseconds = delayMilliseconds;
	}

	override defer(callback: () => void): void {
		if (this.#isResuming) {
			this.#deferred.push(callback);
		} else {
			super.defer(callback);
		}
	}

	override schedule(delayMilliseconds: number, callback: () => void): Disposable {
		this.#sequence += 1;
		const timer: Timer = {
			at: this.now() + delayMilliseconds, sequence: this.#sequence, callback, handle: undefined,
		};
		this.#timers.add(timer);
		if (!this.isPaused) {
			this.#arm(timer, delayMilliseconds + this.#delayMilliseconds);
		}

		return {
			dispose: () => {
				this.#timers.delete(timer);
				timer.handle?.dispose();
			},
		};
	}

	/** Reads a message at once, or queues it while the entry is slow or paused, or the socket has unread messages. */
	receive(socket: string, read: () => void): void {
		const now = this.clusterClock.now();
		const readAt = Math.max(now + this.#delayMilliseconds, this.#readsAt.get(socket) ?? 0);
		if (readAt <= now) {
			this.#receiveNow(socket, read);
			return;
		}

		this.#readsAt.set(socket, readAt);
		this.clusterClock.schedule(readAt - now, () => {
			this.#receiveNow(socket, read);
		});
	}

	/** Discards the unread messages of a socket. */
	dropUnread(socket: string): void {
		this.#sockets.delete(socket);
	}

	pause(): void {
		this.#pausedAt = this.clusterClock.now();
		this.#isResuming = false;
		for (const {handle} of this.#timers) {
			handle?.dispose();
		}
	}

	resume({first, countsPause, socketOrder}: ResumeOptions): void {
		const pausedAt = this.#pausedAt ?? this.clusterClock.now();
		this.#pausedAt = undefined;
		this.#isResuming = true;
		this.#suspendedMilliseconds += countsPause ? 0 : this.clusterClock.now() - pausedAt;
		const now = this.now();
		const timers = [...this.#timers].sort((left, right) => left.at - right.at || left.sequence - right.sequence);
		for (const timer of timers) {
			this.#arm(timer, Math.max(first === 'network' ? stepMilliseconds : 0, timer.at - now));
		}

		this.clusterClock.schedule(first === 'network' ? 0 : stepMilliseconds, () => {
			void this.#deliverBuffered(socketOrder);
		});
	}

	#receiveNow(socket: string, read: () => void): void {
		const unread = this.#sockets.get(socket);
		if (unread !== undefined) {
			unread.push(read);
		} else if (this.isPaused) {
			this.#sockets.set(socket, [read]);
		} else {
			read();
		}
	}

	#arm(timer: Timer, delayMilliseconds: number): void {
		timer.handle = this.clusterClock.schedule(delayMilliseconds, () => {
			this.#timers.delete(timer);
			timer.callback();
		});
	}

	async #deliverBuffered(socketOrder: number): Promise<void> {
		await this.#readAll(socketOrder);
		this.#isResuming = false;
		for (const callback of this.#deferred.splice(0)) {
			this.defer(callback);
		}
	}

	/** Reads the sockets one after the other in the given order; promises settle after each message. */
	async #readAll(socketOrder: number): Promise<void> {
		const sockets = [...this.#sockets.keys()].sort();
		for (let remaining = sockets.length; remaining > 0 && !this.isPaused; remaining -= 1) {
			const [socket] = sockets.splice(socketOrder % remaining, 1);
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

/** Lets pending promise callbacks run within the current step of the cluster's clock. */
async function settle(): Promise<void> {
	for (let remaining = maximumPromiseDepth; remaining > 0; remaining -= 1) {
		await Promise.resolve();
	}
}
