/** Version of the peer protocol. */

/**
 * Covers the frames of connections and the layout of all messages. Entries of different versions share nothing, so that none can take
 * a value for another; within a version, values are only added where entries of before ignore them.
 */
export const protocolVersion = 1;
