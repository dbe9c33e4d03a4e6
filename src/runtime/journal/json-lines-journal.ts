/** A journal that writes JSON lines to standard output. */
import {write} from 'node:fs';
import type {Clock} from '../../base/clock.js';
import {eventCatalogue} from './event-catalogue.js';
import type {EventFields} from './event-fields.js';
import type {EventName} from './event-name.js';
import {Journal} from './journal.js';

const standardOutput = 1;
/** Batches the lines of an interval into one write. */
const flushIntervalMilliseconds = 100;
/** Limit of buffered output; lines beyond it are dropped and counted, so that a slow reader never blocks a request. */
const bufferLimitBytes = 131_072;

/**
 * Writes one JSON object per line with monotonic and wall time in milliseconds, number, name, level and fields. Writes are
 * asynchronous, one at a time.
 */
export class JsonLinesJournal extends Journal {
	#bufferedLines: string[] = [];
	#bufferedBytes = 0;
	#droppedLines = 0;
	#isWriting = false;
	#isScheduled = false;
	readonly #constantParts = new Map<EventName, string>();

	constructor(private readonly clock: Clock, private readonly includesDetails: boolean, private readonly descriptor = standardOutput) {
		super();
	}

	override record(event: EventName, fields: EventFields): void {
		const {level} = eventCatalogue[event];
		if (level === 'detail' && !this.includesDetails) {
			return;
		}

		if (this.#bufferedBytes > bufferLimitBytes) {
			this.#droppedLines += 1;
			return;
		}

		// Assembled from parts, because copying the fields into one object takes longer than serializing them.
		const common = `{"ms":${Math.round(this.clock.now())},"at":${this.clock.wallTime()},${this.#constantPartOf(event)}`;
		const rest = JSON.stringify(fields);
		this.#add(rest === '{}' ? `${common}}` : `${common},${rest.slice(1)}`);
		this.#schedule();
	}

	/** Resolves once all buffered lines are written; called before the process exits. */
	async flush(): Promise<void> {
		while (this.#bufferedLines.length > 0 || this.#isWriting) {
			this.#writeBatch();
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	/** Number, name and level of an event as members of a JSON object. */
	#constantPartOf(event: EventName): string {
		const known = this.#constantParts.get(event);
		if (known !== undefined) {
			return known;
		}

		const {number, level} = eventCatalogue[event];
		const part = JSON.stringify({number, event, level}).slice(1, -1);
		this.#constantParts.set(event, part);
		return part;
	}

	#add(line: string): void {
		this.#bufferedLines.push(line);
		this.#bufferedBytes += line.length + 1;
	}

	#schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		this.clock.schedule(flushIntervalMilliseconds, () => {
			this.#isScheduled = false;
			this.#writeBatch();
		});
	}

	#writeBatch(): void {
		if (this.#isWriting || this.#bufferedLines.length === 0) {
			return;
		}

		if (this.#droppedLines > 0) {
			this.#add(JSON.stringify({
				ms: Math.round(this.clock.now()), number: eventCatalogue.linesDropped.number, event: 'linesDropped', lines: this.#droppedLines,
			}));
			this.#droppedLines = 0;
		}

		const text = `${this.#bufferedLines.join('\n')}\n`;
		this.#bufferedLines = [];
		this.#bufferedBytes = 0;
		this.#isWriting = true;
		// Write errors are ignored: logging must not fail the service.
		write(this.descriptor, text, () => {
			this.#isWriting = false;
			if (this.#bufferedLines.length > 0) {
				this.#schedule();
			}
		});
	}
}
