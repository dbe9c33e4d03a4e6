/** Appends snapshots to the log, so that it can trim old records. */
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
 * After any entry's snapshot, each entry waits a random time between one and two periods before it appends the next. Every
 * new snapshot restarts the wait, so a fleet appends about one per period regardless of its size.
 */
const periodMilliseconds = hourMilliseconds / 2;
/** Number of records since the last snapshot that triggers an early one. */
const recordsForSnapshot = 200;
const expeditedMilliseconds = 30_000;

type SnapshotWriterParts = {
	readonly profileService: ProfileService;
	readonly stream: LogStream;
	readonly clock: Clock;
	readonly random: Random;
	readonly journal: Journal;
	/** Offset of the latest snapshot record that was folded. */
	readonly latestSnapshot: () => number | undefined;
};

/** Appends periodic snapshots. Concurrent snapshots are harmless, because readers accept either. */
export class SnapshotWriter implements Disposable {
	readonly #store = new DisposableStore();
	readonly #cancellation = new CancellationSource();
	#timer: Disposable | undefined;
	#lastSeenSnapshot: number | undefined;
	#isExpedited = false;

	constructor(private readonly parts: SnapshotWriterParts) {}

	start(): void {
		this.#schedule(periodMilliseconds);
		this.#store.add(this.parts.profileService.onDidChangeConfiguration(({nextOffset}) => {
			this.#handleAdvance(nextOffset);
		}));
	}

	dispose(): void {
		this.#cancellation.cancel();
		this.#timer?.dispose();
		this.#store.dispose();
	}

	#handleAdvance(nextOffset: number): void {
		const latest = this.parts.latestSnapshot();
		if (latest !== this.#lastSeenSnapshot) {
			this.#lastSeenSnapshot = latest;
			this.#isExpedited = false;
			this.#schedule(periodMilliseconds);
		} else if (!this.#isExpedited && nextOffset - (latest ?? 0) > recordsForSnapshot) {
			this.#isExpedited = true;
			this.#schedule(expeditedMilliseconds);
		}
	}

	#schedule(milliseconds: number): void {
		this.#timer?.dispose();
		this.#timer = this.parts.clock.schedule(milliseconds * (1 + this.parts.random.fraction()), () => {
			this.#isExpedited = false;
			this.#schedule(periodMilliseconds);
			void this.#append();
		});
	}

	async #append(): Promise<void> {
		const {profileService, stream, journal} = this.parts;
		// An empty configuration needs no snapshot, and one that isn't loaded would be incomplete.
		if (!profileService.isLoaded || profileService.configuration.nextOffset === 0) {
			return;
		}

		const snapshot = snapshotOf(profileService.configuration);
		const appended = await stream.append(snapshot, this.#cancellation.token);
		if (appended.kind === 'appended') {
			journal.record('snapshotAppended', {offset: appended.offset, upTo: snapshot.upTo});
		}
	}
}
