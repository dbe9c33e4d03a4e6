/** Timing for entries that seldom talk. */
import type {PeerTiming} from './peer-timing.js';

/** Two pings and a redial fit into the time after which a member counts as silent; little traffic while nothing happens. */
export const calmPeerTiming: PeerTiming = {
	ping: 600, check: 300, silence: 1600, connect: 1000, redial: 250, use: 1000,
};
