/** Describes a running entry process. */
import type {FaultProxy} from '../standins/fault-proxy.js';
import type {Program} from './program.js';

/** An entry process with its identity and addresses. */
export type FleetEntry = {
	readonly instance: string;
	readonly zone: string;
	readonly program: Program;
	/** `IP:port` of its HTTP server. */
	readonly address: string;
	/** `IP:port` that peers connect to; the address of `relay`. */
	readonly peerAddress: string;
	/** Forwards connections from peers to the process. */
	readonly relay: FaultProxy;
};
