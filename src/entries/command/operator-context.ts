/** What the operators' commands work with. */
import type {Clock} from '../../base/clock.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';
import type {FleetClient} from './fleet-client.js';

/** Built by the main module from the command line. */
export type OperatorContext = {
	readonly stream: LogStream;
	readonly fleet: FleetClient;
	readonly clock: Clock;
	/** Called with a line about the progress; does nothing where nobody looks at a terminal. */
	readonly reportProgress: (line: string) => void;
};
