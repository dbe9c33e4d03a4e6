/** The record of a case: what was sent, answered and run. */
import {appendFileSync, writeFileSync} from 'node:fs';

/** Writes a line for each event, with the milliseconds since the record was opened. */
export class Record {
	#startedAt = Date.now();

	constructor(file) {
		this.file = file;
		writeFileSync(file, '');
	}

	/** Milliseconds since the record was opened, of a time of day. */
	at(wallTime = Date.now()) {
		return wallTime - this.#startedAt;
	}

	write(event, fields = {}, wallTime = Date.now()) {
		appendFileSync(this.file, `${String(this.at(wallTime)).padStart(6)} ms  ${event} ${JSON.stringify(fields)}\n`);
	}
}
