/** The address at which an entry accepts connections from its peers. */
import type {AvailabilityZone} from '../../base/availability-zone.js';

/** The zone of an address from the settings is unknown until the first connection to the entry there. */
export type PeerEndpoint = {
	/** IP and port. */
	readonly address: string;
	readonly zone: AvailabilityZone | undefined;
};
