/** Where an entry listens for its peers. */
import type {AvailabilityZone} from '../../base/availability-zone.js';

/** The zone is unknown for an address that comes from the settings, until the entry there was met. */
export type PeerEndpoint = {
	/** IP and port. */
	readonly address: string;
	readonly zone: AvailabilityZone | undefined;
};
