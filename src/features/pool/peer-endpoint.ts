/** The address at which an entry accepts connections from its peers. */
import type {AvailabilityZone} from '../../base/availability-zone.js';

/** The zone of an address from the settings is unknown until the entry there has been met. */
export type PeerEndpoint = {
	/** IP and port. */
	readonly address: string;
	readonly zone: AvailabilityZone | undefined;
};
