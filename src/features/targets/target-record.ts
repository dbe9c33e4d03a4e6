/** A target's record in the catalogue. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Incarnation} from '../../base/incarnation.js';
import type {InstanceId} from '../../base/instance-id.js';
import type {Resources} from '../../base/resources.js';
import type {ServiceName} from '../../base/service-name.js';

/** Describes one incarnation of a target. A target that crashed may return under the same id as another incarnation. */
export type TargetRecord = {
	readonly id: InstanceId;
	/** Undefined if the platform doesn't provide it; each incarnation has its own id then. */
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
