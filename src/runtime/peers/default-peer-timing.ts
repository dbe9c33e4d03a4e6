/** Timing for entries that seldom talk. */
import type {PeerTiming} from './peer-timing.js';

/** Two pings and a redial fit into the time after which a member counts as silent; little traffic while nothing happens. */
export const defaultPeerTiming: PeerTiming = {
	pingInterval: 600, checkInterval: 300, silenceTimeout: 1600, connectTimeout: 1000, redialDelay: 250, idleTimeout: 1000,
};
