/** Counts of what went over the peer connections. */

/** Frames and bytes since the start, pings and handshakes included. */
export type PeerTraffic = {
	readonly sentFrames: number;
	/** Sent frames by what they were: `ping`, `pong`, the handshake's, or a message's channel and kind. */
	readonly sentByKind: Readonly<Record<string, number>>;
	readonly sentBytes: number;
	readonly receivedFrames: number;
	readonly receivedBytes: number;
};
