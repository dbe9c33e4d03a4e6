/** Traffic statistics of the peer connections. */

/** Frames and bytes since the start, including pings and handshakes. */
export type PeerTraffic = {
	readonly sentFrames: number;
	/** Sent frames by kind: a protocol frame's kind, or a message's channel and kind. */
	readonly sentByKind: Readonly<Record<string, number>>;
	readonly sentBytes: number;
	readonly receivedFrames: number;
	readonly receivedBytes: number;
};
