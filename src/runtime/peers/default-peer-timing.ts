/** Default timing of the peer network. */
import type {PeerTiming} from './peer-timing.js';

/** Two pings and a reconnection fit into the silence timeout, with little traffic on idle connections. */
export const defaultPeerTiming: PeerTiming = {
	pingInterval: 600, checkInterval: 300, silenceTimeout: 1600, connectTimeout: 1000, redialDelay: 250, idleTimeout: 1000,
};
