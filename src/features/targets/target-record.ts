/** A target as the catalogue lists it. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';

/** One life of a target. A target that crashed comes back as another record with another id. */
export type TargetRecord = {
	readonly id: InstanceId;
	/** `IP:port` of its orders interface. */
	readonly address: string;
	readonly zone: AvailabilityZone;
	readonly service: ServiceName;
	/** A draining target takes no new tasks and finishes those it has. */
	readonly isDraining: boolean;
	readonly capacity: Resources;
	readonly labels: readonly string[];
};
