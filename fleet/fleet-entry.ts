/** An entry process of a fleet. */
import type {FaultProxy} from '../standins/fault-proxy.js';
import type {Program} from './program.js';

/** The process with its place in the fleet. */
export type FleetEntry = {
	readonly instance: string;
	readonly zone: string;
	readonly program: Program;
	/** `IP:port` of its HTTP server. */
	readonly address: string;
	/** `IP:port` at which its peers reach it. */
	readonly peerAddress: string;
	/** Stands between its peers and it. */
	readonly relay: FaultProxy;
};
