/** Dependencies of the operator commands. */
import type {Clock} from '../../base/clock.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';
import type {FleetClient} from './fleet-client.js';

/** Created by the main module from the command-line options. */
export type OperatorContext = {
	readonly stream: LogStream;
	readonly fleet: FleetClient;
	readonly clock: Clock;
	/** Shows a progress message if standard error is a terminal. */
	readonly reportProgress: (line: string) => void;
};
