/** The journal of a daemon whose output is collected from standard output. */
import {write} from 'node:fs';
import type {Clock} from '../../base/clock.js';
import {eventCatalogue} from './event-catalogue.js';
import type {EventFields} from './event-fields.js';
import type {EventName} from './event-name.js';
import {Journal} from './journal.js';

const standardOutput = 1;
/** Lines are written together: one system call for many. */
const flushMilliseconds = 100;
/** What may wait to be written. Beyond it lines are dropped and counted, so that a slow reader never holds up a request. */
const bufferLimitBytes = 131_072;

/**
 * Writes one JSON object a line: monotonic and wall time in milliseconds, number, name, fields. Writing happens beside the
 * event loop, one write at a time.
 */
export class JsonLinesJournal extends Journal {
	#lines: string[] = [];
	#bytes = 0;
	#dropped = 0;
	#isWriting = false;
	#isScheduled = false;

	constructor(private readonly clock: Clock, private readonly hasDetails: boolean, private readonly descriptor = standardOutput) {
		super();
	}

	override record(event: EventName, fields: EventFields): void {
		const {number, level} = eventCatalogue[event];
		if (level === 'detail' && !this.hasDetails) {
			return;
		}

		if (this.#bytes > bufferLimitBytes) {
			this.#dropped += 1;
			return;
		}

		this.#add(JSON.stringify({
			ms: Math.round(this.clock.now()), at: this.clock.wallTime(), number, event, level, ...fields,
		}));
		this.#schedule();
	}

	/** Writes what waits at once; for the end of the process. */
	async flush(): Promise<void> {
		while (this.#lines.length > 0 || this.#isWriting) {
			this.#flush();
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	#add(line: string): void {
		this.#lines.push(line);
		this.#bytes += line.length + 1;
	}

	#schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		this.clock.schedule(flushMilliseconds, () => {
			this.#isScheduled = false;
			this.#flush();
		});
	}

	#flush(): void {
		if (this.#isWriting || this.#lines.length === 0) {
			return;
		}

		if (this.#dropped > 0) {
			this.#add(JSON.stringify({
				ms: Math.round(this.clock.now()), number: eventCatalogue.linesDropped.number, event: 'linesDropped', lines: this.#dropped,
			}));
			this.#dropped = 0;
		}

		const text = `${this.#lines.join('\n')}\n`;
		this.#lines = [];
		this.#bytes = 0;
		this.#isWriting = true;
		// A reader that is gone can't be told: the lines are lost, the service isn't.
		write(this.descriptor, text, () => {
			this.#isWriting = false;
			if (this.#lines.length > 0) {
				this.#schedule();
			}
		});
	}
}
