/** Appends snapshots, so that the log may forget old records. */
import {CancellationSource} from '../../base/cancellation-source.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {JsonValue} from '../../base/json-value.js';
import type {Random} from '../../base/random.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';
import type {ProfileService} from './profile-service.js';
import {snapshotOf} from './snapshot-of.js';

const hourMilliseconds = 3_600_000;
/**
 * After a snapshot, anyone's, each entry waits between one and two of these before it appends the next: whoever drew the
 * shortest wait appends, and the others begin to wait anew. A fleet appends about one in this time, whatever its size.
 */
const periodMilliseconds = hourMilliseconds / 2;
/** So many records without a snapshot call for one sooner. */
const recordsForSnapshot = 200;
const soonMilliseconds = 30_000;

type SnapshotKeeperParts = {
	readonly book: ProfileService;
	readonly stream: LogStream;
	readonly clock: Clock;
	readonly random: Random;
	readonly journal: Journal;
	/** The offset of the latest snapshot that was folded. */
	readonly latestSnapshot: () => number | undefined;
};

/** Two snapshots at once do no harm: each stands for the records before it, and readers take either. */
export class SnapshotKeeper implements Disposable {
	readonly #store = new DisposableStore();
	readonly #cancellation = new CancellationSource();
	#timer: Disposable | undefined;
	#seen: number | undefined;
	#isSoon = false;

	constructor(private readonly parts: SnapshotKeeperParts) {}

	start(): void {
		this.#wait(periodMilliseconds);
		this.#store.add(this.parts.book.onDidChangeConfiguration(({nextOffset}) => {
			this.#advanced(nextOffset);
		}));
	}

	dispose(): void {
		this.#cancellation.cancel();
		this.#timer?.dispose();
		this.#store.dispose();
	}

	#advanced(nextOffset: number): void {
		const latest = this.parts.latestSnapshot();
		if (latest !== this.#seen) {
			this.#seen = latest;
			this.#isSoon = false;
			this.#wait(periodMilliseconds);
		} else if (!this.#isSoon && nextOffset - (latest ?? 0) > recordsForSnapshot) {
			this.#isSoon = true;
			this.#wait(soonMilliseconds);
		}
	}

	#wait(milliseconds: number): void {
		this.#timer?.dispose();
		this.#timer = this.parts.clock.schedule(milliseconds * (1 + this.parts.random.fraction()), () => {
			this.#isSoon = false;
			this.#wait(periodMilliseconds);
			void this.#append();
		});
	}

	async #append(): Promise<void> {
		const {book, stream, journal} = this.parts;
		// An empty configuration has nothing to lose, and one that was never loaded would tell a falsehood.
		if (!book.isLoaded || book.configuration.nextOffset === 0) {
			return;
		}

		const snapshot = snapshotOf(book.configuration);
		const appended = await stream.append(snapshot, this.#cancellation.token);
		if (appended.kind === 'appended') {
			journal.record('snapshotAppended', {offset: appended.offset, upTo: snapshot.upTo});
		}
	}
}
