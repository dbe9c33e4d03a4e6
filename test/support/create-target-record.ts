/** Target records for tests. */
import type {AvailabilityZone} from '../../src/base/availability-zone.js';
import type {InstanceId} from '../../src/base/instance-id.js';
import {Resources} from '../../src/base/resources.js';
import type {ServiceName} from '../../src/base/service-name.js';
import type {TargetRecord} from '../../src/features/targets/target-record.js';

/** Creates a target with capacity for two tasks of 27 cores. */
export function createTargetRecord(name: string): TargetRecord {
	return {
		id: name as InstanceId,
		incarnation: undefined,
		address: '10.0.0.1:1',
		zone: 'zone' as AvailabilityZone,
		service: 'service' as ServiceName,
		isDraining: false,
		capacity: new Resources(64_000, 1000, 0),
		labels: [],
	};
}
