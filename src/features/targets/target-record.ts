/** A target as the catalogue lists it. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Incarnation} from '../../base/incarnation.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';

/** One life of a target. A target that crashed may come back under the same id, as another incarnation. */
export type TargetRecord = {
	readonly id: InstanceId;
	/** Nothing where the platform doesn't state it: there each life has an id of its own. */
	readonly incarnation: Incarnation | undefined;
	/** `IP:port` of its orders interface. */
	readonly address: string;
	readonly zone: AvailabilityZone;
	readonly service: ServiceName;
	/** A draining target takes no new tasks and finishes those it has. */
	readonly isDraining: boolean;
	readonly capacity: Resources;
	readonly labels: readonly string[];
};
