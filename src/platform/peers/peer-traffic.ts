/** Counts of what went over the peer connections. */

/** Frames and bytes since the start, pings and handshakes included. */
export type PeerTraffic = {
	readonly sentFrames: number;
	readonly sentBytes: number;
	readonly receivedFrames: number;
	readonly receivedBytes: number;
};
