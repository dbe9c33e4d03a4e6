/** Registers the placement feature and its policies. */
import type {DisposableStore} from '../../base/disposable-store.js';
import {Contribution} from '../../runtime/kernel/contribution.js';
import {contributions} from '../../runtime/kernel/contributions.js';
import type {ServiceContainer} from '../../runtime/kernel/service-container.js';
import {runtimeKeys} from '../../runtime/runtime-keys.js';
import {membershipKey} from '../membership/membership-key.js';
import {placementPolicies} from './placement-policies.js';
import './policies/fixed-shares.js';
import './policies/late-binding.js';
import './policies/least-in-flight.js';
import './policies/power-of-two.js';
import './policies/random-choice.js';
import './policies/round-robin.js';
import {slotClientKey} from './slot-client-key.js';
import {PlacementService} from './placement-service.js';
import {placementServiceKey} from './placement-service-key.js';

contributions.register(new class extends Contribution {
	override readonly name = 'placement';
	override readonly requires = ['membership'];

	override activate(services: ServiceContainer, store: DisposableStore): void {
		const settings = services.get(runtimeKeys.settings).placement;
		const policy = placementPolicies.get(settings.policy);
		if (policy === undefined) {
			throw new Error(`unknown placement.policy "${settings.policy}"; expected one of: ${placementPolicies.names().join(', ')}`);
		}

		const zonePlacement = store.add(new PlacementService({
			policy,
			quarantineMilliseconds: settings.quarantineMilliseconds,
			network: services.get(runtimeKeys.peerNetwork),
			membership: services.get(membershipKey),
			list: services.get(runtimeKeys.instanceList),
			driver: services.get(runtimeKeys.targetDriver),
			clock: services.get(runtimeKeys.clock),
			random: services.get(runtimeKeys.random),
			journal: services.get(runtimeKeys.journal),
		}));
		services.provide(slotClientKey, zonePlacement.slotClient);
		services.provide(placementServiceKey, zonePlacement);
		zonePlacement.start();
	}
}());
